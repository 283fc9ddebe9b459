//! Keeps packets that arrived before it was known where to send them.
//!
//! A client retransmits a packet after 200 ms at the earliest and doubles the interval each time. A
//! balancer that starts receives its configuration about 30 ms later, so it keeps its first packets
//! and decides about them then instead of losing them.

use weirhinge_fleet::Millis;

use super::decision::{Decision, DropReason};
use super::{Balancer, ClientPacket, Context};
use crate::packet::PacketHeader;
use crate::pending_packets::PendingPackets;
use crate::view::VersionLabel;

/// Interval at which to check whether these packets can be decided about.
const CHECK_INTERVAL_MS: Millis = 8;

/// The known state on which the outcome of another decision depends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct KnownState {
    label: Option<VersionLabel>,
    targets: usize,
    reported_targets: u64,
    helpers: usize,
    evacuated: usize,
}

/// Undecided packets, which are decided about again when the known state changes.
#[derive(Clone, Debug, Default)]
pub(super) struct UndecidedPackets {
    packets: PendingPackets,
    checked_at: Millis,
    known: KnownState,
}

impl UndecidedPackets {
    /// Keeps as many packets as a balancer with this processor share, in thousandths of a
    /// processor, decides about in a few tens of milliseconds. More would only delay the packets
    /// that arrive at that time.
    pub(super) fn with_processor_share(permille: u32) -> Self {
        let capacity = usize::try_from(permille).unwrap_or(usize::MAX);
        let packets = PendingPackets::with_capacity(capacity);
        Self { packets, ..Self::default() }
    }

    /// When to check next, or `None` if there are no packets.
    fn next_check_at(&self) -> Option<Millis> {
        (!self.packets.is_empty()).then_some(self.checked_at + CHECK_INTERVAL_MS)
    }

    /// Returns all packets if the known state has changed.
    fn take_if_changed(&mut self, known: KnownState, now: Millis) -> Vec<(PacketHeader, Vec<u8>)> {
        self.checked_at = now;
        if known == self.known {
            self.packets.expire(now);
            return Vec::new();
        }
        self.known = known;
        self.packets.take_due(now, 0)
    }
}

impl Balancer {
    /// Keeps a copy of a packet that cannot be sent anywhere yet, or drops the copy once the packet
    /// is decided about.
    pub(super) fn keep_undecided(
        &mut self,
        decision: &Decision,
        packet: ClientPacket<'_>,
        now: Millis,
    ) {
        let flow = packet.header.client_flow();
        if is_undecided(decision) {
            self.undecided.packets.keep(flow, packet.header, packet.bytes, 0, now);
        } else {
            self.undecided.packets.remove(&flow);
        }
    }

    /// Returns the packets to decide about again with [`Self::retry_undecided`], newest first.
    /// Returns none unless the balancer has learned something that may change the outcome.
    pub fn due_undecided(&mut self, context: &Context<'_>) -> Vec<(PacketHeader, Vec<u8>)> {
        let known = KnownState {
            label: context.view.label(),
            targets: context.view.target_count(),
            reported_targets: self.statuses.targets_reported(),
            helpers: context.helpers.len(),
            evacuated: context.view.evacuated_zone_count(),
        };
        self.undecided.take_if_changed(known, context.now)
    }

    /// Decides about a packet from [`Self::due_undecided`]. Returns `None` if the packet still
    /// cannot be sent anywhere.
    pub fn retry_undecided(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
    ) -> Option<Decision> {
        let decision = self.handle_client_packet(context, packet);
        (!is_undecided(&decision)).then_some(decision)
    }

    /// When the next packet kept here is due: one that is undecided, whose search is in progress,
    /// or that waits for capacity.
    pub fn next_due(&self) -> Option<Millis> {
        let undecided = self.undecided.next_check_at();
        let queued = self.late_binding.next_due();
        self.searches.next_due().into_iter().chain(undecided).chain(queued).min()
    }
}

/// Whether a packet cannot be sent anywhere yet but may be soon.
fn is_undecided(decision: &Decision) -> bool {
    let undecided_reasons = [DropReason::NoConfiguration, DropReason::NoTargetYet];
    matches!(decision, Decision::Drop(reason) if undecided_reasons.contains(reason))
}
