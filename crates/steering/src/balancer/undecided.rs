//! Packets that came before it was known where they could go.
//!
//! A client sends a packet again after 200 ms at the earliest, and every further copy
//! comes twice as late. A balancer that starts knows a configuration some 30 ms later,
//! so its first packets are decided about then instead of being lost.

use weirhinge_fleet::Millis;

use super::decision::{Decision, DropReason};
use super::{Balancer, ClientPacket, Context};
use crate::packet::PacketHeader;
use crate::pending_packets::PendingPackets;
use crate::view::VersionLabel;

/// How often it is looked whether there is news for such packets.
const LOOK_EVERY_MS: Millis = 8;

/// What a further decision could come out differently by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Knowledge {
    label: Option<VersionLabel>,
    targets: usize,
    claims: u64,
    helpers: usize,
    evacuated: usize,
}

/// The packets, decided about again once there is news.
#[derive(Clone, Debug, Default)]
pub(super) struct UndecidedPackets {
    packets: PendingPackets,
    looked_at: Millis,
    known: Knowledge,
}

impl UndecidedPackets {
    /// Keeps as many packets as a balancer decides about in a few tens of
    /// milliseconds: more would only make it late for those that come then.
    pub(super) fn with_processor_share(permille: u32) -> Self {
        let capacity = usize::try_from(permille).unwrap_or(usize::MAX);
        let packets = PendingPackets::with_capacity(capacity);
        Self { packets, ..Self::default() }
    }

    /// When to look for news next; none while no packet waits.
    fn next_look(&self) -> Option<Millis> {
        (!self.packets.is_empty()).then_some(self.looked_at + LOOK_EVERY_MS)
    }

    /// All packets if there is news.
    fn look(&mut self, known: Knowledge, now: Millis) -> Vec<(PacketHeader, Vec<u8>)> {
        self.looked_at = now;
        if known == self.known {
            self.packets.expire(now);
            return Vec::new();
        }
        self.known = known;
        self.packets.take_due(now, 0)
    }
}

impl Balancer {
    /// Keeps a copy of a packet that could not go anywhere yet, or drops the copy when
    /// the packet got its outcome.
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

    /// The packets to be decided about once more by [`Self::decide_again`], the newest
    /// first; none while nothing was learned that would change the outcome.
    pub fn due_undecided(&mut self, context: &Context<'_>) -> Vec<(PacketHeader, Vec<u8>)> {
        let known = Knowledge {
            label: context.view.label(),
            targets: context.view.target_count(),
            claims: self.statuses.targets_reported(),
            helpers: context.helpers.len(),
            evacuated: context.view.evacuated_zone_count(),
        };
        self.undecided.look(known, context.now)
    }

    /// Decides about a packet from [`Self::due_undecided`]. None if it still has
    /// nowhere to go.
    pub fn decide_again(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
    ) -> Option<Decision> {
        let decision = self.client_packet(context, packet);
        (!is_undecided(&decision)).then_some(decision)
    }

    /// When the first packet that rests here is looked at again: one whose way is not
    /// known, whose search goes on, or that waits for room.
    pub fn next_due(&self) -> Option<Millis> {
        let undecided = self.undecided.next_look();
        let queued = self.late_binding.next_due();
        self.searches.next_due().into_iter().chain(undecided).chain(queued).min()
    }
}

/// Whether a packet has nowhere to go yet but may have soon.
fn is_undecided(decision: &Decision) -> bool {
    let yet = [DropReason::NoConfiguration, DropReason::NoTargetYet];
    matches!(decision, Decision::Drop(reason) if yet.contains(reason))
}
