//! A balancer whose clients and targets are played by the test.

use std::net::Ipv4Addr;

use weirhinge_fleet::{ReturnReason, TargetState, ZoneId};
use weirhinge_steering::{Balancer, ClientPacket, Context, Decision, FleetView, PacketHeader};

use super::{SERVICE, Store, agent, flow, forwarded, opening, target_status};

/// A time long after the start, when all settling times are over.
pub const LATER: u64 = 100_000;

pub struct Fixture {
    pub balancer: Balancer,
    pub view: FleetView,
    pub fresh: bool,
    pub knows_removed_targets: bool,
}

impl Fixture {
    pub fn new(store: &Store) -> Self {
        Self {
            balancer: Balancer::default(),
            view: store.view(),
            fresh: true,
            knows_removed_targets: true,
        }
    }

    pub fn context(&self, now: u64) -> Context<'_> {
        context(&self.view, self.fresh, self.knows_removed_targets, now)
    }

    /// Returns the balancer and the context of its decisions.
    pub fn parts(&mut self, now: u64) -> (&mut Balancer, Context<'_>) {
        let context = context(&self.view, self.fresh, self.knows_removed_targets, now);
        (&mut self.balancer, context)
    }

    /// Decides a client's packet while helpers take over unknown flows.
    pub fn client_with_helpers(
        &mut self,
        header: &PacketHeader,
        helpers: &[Ipv4Addr],
        now: u64,
    ) -> Decision {
        let (balancer, context) = self.parts(now);
        let context = Context { helpers, ..context };
        balancer.handle_client_packet(&context, ClientPacket { header, bytes: b"packet" })
    }

    pub fn client(&mut self, header: &PacketHeader, now: u64) -> Decision {
        let (balancer, context) = self.parts(now);
        balancer.handle_client_packet(&context, ClientPacket { header, bytes: b"packet" })
    }

    /// An agent returns a packet that was sent without a grant.
    pub fn returned(
        &mut self,
        header: &PacketHeader,
        from: Ipv4Addr,
        reason: ReturnReason,
        now: u64,
    ) -> Decision {
        self.return_packet(header, from, reason, false, now)
    }

    /// An agent returns an opening packet that was sent for a grant.
    pub fn returned_granted(
        &mut self,
        header: &PacketHeader,
        from: Ipv4Addr,
        reason: ReturnReason,
        now: u64,
    ) -> Decision {
        self.return_packet(header, from, reason, true, now)
    }

    fn return_packet(
        &mut self,
        header: &PacketHeader,
        from: Ipv4Addr,
        reason: ReturnReason,
        granted: bool,
        now: u64,
    ) -> Decision {
        let (balancer, context) = self.parts(now);
        let packet = ClientPacket { header, bytes: b"packet" };
        balancer.handle_returned_packet(&context, packet, from, reason, granted)
    }

    pub fn bounced(&mut self, header: &PacketHeader, from: Ipv4Addr, now: u64) -> Decision {
        self.returned(header, from, ReturnReason::Bounced, now)
    }

    /// An agent in zone `a` reports a live target of the service.
    pub fn note_target_status(&mut self, agent: Ipv4Addr, now: u64) {
        self.balancer.note_target_status(agent, ZoneId::of("a"), &target_status(SERVICE), now);
    }

    pub fn continue_search(&mut self, header: &PacketHeader, now: u64) -> Decision {
        let (balancer, context) = self.parts(now);
        balancer.continue_search(&context, ClientPacket { header, bytes: b"packet" })
    }

    pub fn due_undecided(&mut self, now: u64) -> Vec<(PacketHeader, Vec<u8>)> {
        let (balancer, context) = self.parts(now);
        balancer.due_undecided(&context)
    }

    pub fn retry_undecided(&mut self, header: &PacketHeader, now: u64) -> Option<Decision> {
        let (balancer, context) = self.parts(now);
        balancer.retry_undecided(&context, ClientPacket { header, bytes: b"packet" })
    }

    /// Opens a flow, and the selected target answers. Returns its agent.
    pub fn open(&mut self, port: u16, now: u64) -> Ipv4Addr {
        let selected = forwarded(&self.client(&opening(flow(port)), now)).agent;
        self.balancer.note_holder(flow(port), selected, false, 0, now);
        selected
    }

    /// Bounces a packet until the balancer no longer forwards it. Returns the agents visited and
    /// the last decision.
    pub fn bounce_until_search_ends(
        &mut self,
        header: &PacketHeader,
        now: u64,
    ) -> (Vec<Ipv4Addr>, Decision) {
        let mut visited = Vec::new();
        let mut decision = self.client(header, now);
        while let Decision::Forward(forward) = &decision {
            visited.push(forward.agent);
            assert!(visited.len() < 100, "the search does not end");
            decision = self.bounced(header, *visited.last().expect("an agent was pushed"), now);
        }
        (visited, decision)
    }
}

fn context(view: &FleetView, fresh: bool, knows_removed_targets: bool, now: u64) -> Context<'_> {
    Context { view, fresh, knows_removed_targets, helpers: &[], now, unix_ms: 0 }
}

/// Six targets, half of them in zone `b`, which some views place in another region.
pub fn targets_in_two_zones() -> Store {
    let mut store = Store::with_targets(3);
    for number in 51..=53 {
        store.target(number, SERVICE, Some(TargetState::Ready), 0);
    }
    store
}

pub fn is_far(agent: Ipv4Addr) -> bool {
    agent.octets()[3] > 50
}
