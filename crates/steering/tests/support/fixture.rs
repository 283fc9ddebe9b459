//! A balancer between clients and targets that a test answers for.

use std::net::Ipv4Addr;

use weirhinge_fleet::{ReturnReason, TargetState, ZoneId};
use weirhinge_steering::{Balancer, ClientPacket, Context, Decision, FleetView, PacketHead};

use super::{SERVICE, Store, agent, claim, flow, forwarded, opening};

/// Long after the start, when nothing is unsettled.
pub const LATER: u64 = 100_000;

pub struct Fixture {
    pub balancer: Balancer,
    pub view: FleetView,
    pub fresh: bool,
}

impl Fixture {
    pub fn new(store: &Store) -> Self {
        Self { balancer: Balancer::default(), view: store.view(), fresh: true }
    }

    pub fn context(&self, now: u64) -> Context<'_> {
        Context { view: &self.view, fresh: self.fresh, helpers: &[], now, unix_ms: 0 }
    }

    /// The balancer, and what it decides from beside its own state.
    fn parts(&mut self, now: u64) -> (&mut Balancer, Context<'_>) {
        let context =
            Context { view: &self.view, fresh: self.fresh, helpers: &[], now, unix_ms: 0 };
        (&mut self.balancer, context)
    }

    /// Decides about a client's packet without the time for unknown flows.
    pub fn pressed(&mut self, head: &PacketHead, helpers: &[Ipv4Addr], now: u64) -> Decision {
        let (balancer, context) = self.parts(now);
        let context = Context { helpers, ..context };
        balancer.handle_client_packet(&context, ClientPacket { head, bytes: b"packet" })
    }

    pub fn client(&mut self, head: &PacketHead, now: u64) -> Decision {
        let (balancer, context) = self.parts(now);
        balancer.handle_client_packet(&context, ClientPacket { head, bytes: b"packet" })
    }

    /// An agent sends a packet back that it got without a grant.
    pub fn returned(
        &mut self,
        head: &PacketHead,
        from: Ipv4Addr,
        reason: ReturnReason,
        now: u64,
    ) -> Decision {
        self.returned_of(head, from, reason, false, now)
    }

    /// An agent sends an opening packet back that it got with a grant.
    pub fn returned_granted(
        &mut self,
        head: &PacketHead,
        from: Ipv4Addr,
        reason: ReturnReason,
        now: u64,
    ) -> Decision {
        self.returned_of(head, from, reason, true, now)
    }

    fn returned_of(
        &mut self,
        head: &PacketHead,
        from: Ipv4Addr,
        reason: ReturnReason,
        granted: bool,
        now: u64,
    ) -> Decision {
        let (balancer, context) = self.parts(now);
        let packet = ClientPacket { head, bytes: b"packet" };
        balancer.handle_returned_packet(&context, packet, from, reason, granted)
    }

    pub fn bounced(&mut self, head: &PacketHead, from: Ipv4Addr, now: u64) -> Decision {
        self.returned(head, from, ReturnReason::Bounced, now)
    }

    /// An agent in zone `a` says that a target of the service works beside it.
    pub fn claimed(&mut self, agent: Ipv4Addr, now: u64) {
        self.balancer.claimed(agent, ZoneId::of("a"), &claim(SERVICE), now);
    }

    pub fn continue_search(&mut self, head: &PacketHead, now: u64) -> Decision {
        let (balancer, context) = self.parts(now);
        balancer.continue_search(&context, ClientPacket { head, bytes: b"packet" })
    }

    pub fn due_undecided(&mut self, now: u64) -> Vec<(PacketHead, Vec<u8>)> {
        let (balancer, context) = self.parts(now);
        balancer.due_undecided(&context)
    }

    pub fn retry_undecided(&mut self, head: &PacketHead, now: u64) -> Option<Decision> {
        let (balancer, context) = self.parts(now);
        balancer.retry_undecided(&context, ClientPacket { head, bytes: b"packet" })
    }

    /// Opens a flow and lets the chosen target answer.
    pub fn open(&mut self, port: u16, now: u64) -> Ipv4Addr {
        let chosen = forwarded(&self.client(&opening(flow(port)), now)).agent;
        self.balancer.note_holder(flow(port), chosen, false, 0, now);
        chosen
    }

    /// Bounces a packet until the balancer no longer forwards it.
    pub fn bounce_to_the_end(&mut self, head: &PacketHead, now: u64) -> (Vec<Ipv4Addr>, Decision) {
        let mut visited = Vec::new();
        let mut decision = self.client(head, now);
        while let Decision::Forward(forward) = &decision {
            visited.push(forward.agent);
            assert!(visited.len() < 100, "the walk ends");
            decision = self.bounced(head, *visited.last().expect("pushed"), now);
        }
        (visited, decision)
    }
}

/// Six targets, half of them in another zone, which some views take for another region.
pub fn two_groups() -> Store {
    let mut store = Store::with_targets(3);
    for number in 51..=53 {
        store.target(number, SERVICE, Some(TargetState::Ready), 0);
    }
    store
}

pub fn is_far(agent: Ipv4Addr) -> bool {
    agent.octets()[3] > 50
}
