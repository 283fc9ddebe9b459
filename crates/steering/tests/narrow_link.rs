//! Lost flows behind a narrow link: the searches for their targets must not fill the link, because
//! answers would then arrive too late and cause further searches.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use support::{Fixture, LATER, Store, data, flow, paths};
use weirhinge_fleet::{Millis, Timing};
use weirhinge_steering::{Balancer, BalancerLimits, Decision, DropReason, FlowKey, PacketHeader};

/// Bytes that a link of 10 Mbit/s carries per millisecond, in each direction.
const BYTES_PER_MS: usize = 1_250;
/// Size of a search packet on the wire: 100 bytes of data plus the headers.
const PACKET_BYTES: usize = 230;
/// Number of packets that a link queues before it drops further ones.
const LINK_QUEUE_LENGTH: usize = 1_000;
/// Transit time from one daemon to another.
const TRANSIT_MS: Millis = 2;
/// Number of targets of the service.
const TARGETS: u32 = 41;

/// One direction of the balancer's link.
#[derive(Default)]
struct Link<T> {
    queue: VecDeque<T>,
    credit: usize,
    carried: usize,
}

impl<T> Link<T> {
    fn send(&mut self, packet: T) {
        if self.queue.len() < LINK_QUEUE_LENGTH {
            self.queue.push_back(packet);
        }
    }

    /// Returns the packets that pass the link in one millisecond.
    fn tick(&mut self) -> Vec<T> {
        self.credit = (self.credit + BYTES_PER_MS).min(BYTES_PER_MS.max(PACKET_BYTES) * 2);
        let count = (self.credit / PACKET_BYTES).min(self.queue.len());
        self.credit -= count * PACKET_BYTES;
        self.carried += count;
        self.queue.drain(..count).collect()
    }
}

/// A balancer without any flows behind a narrow link, and targets that hold none of the flows.
struct Simulation {
    fixture: Fixture,
    now: Millis,
    /// When the agents start; packets before that are lost.
    agents_start_at: Millis,
    outward: Link<(PacketHeader, Vec<Ipv4Addr>)>,
    inward: Link<(PacketHeader, Ipv4Addr)>,
    /// Packets on their way back to the balancer's link, by arrival time.
    returning: BTreeMap<Millis, Vec<(PacketHeader, Ipv4Addr)>>,
    reset_at: BTreeMap<FlowKey, Millis>,
}

impl Simulation {
    fn new(agents_start_at: Millis) -> Self {
        let mut fixture = Fixture::new(&Store::with_many_targets(TARGETS));
        let limits = BalancerLimits { link_kbps: Some(10_000), ..BalancerLimits::default() };
        fixture.balancer = Balancer::with_limits(Timing::default(), limits);
        Self {
            fixture,
            now: LATER,
            agents_start_at: LATER + agents_start_at,
            outward: Link { queue: VecDeque::new(), credit: 0, carried: 0 },
            inward: Link { queue: VecDeque::new(), credit: 0, carried: 0 },
            returning: BTreeMap::new(),
            reset_at: BTreeMap::new(),
        }
    }

    fn execute(&mut self, header: &PacketHeader, decision: &Decision) {
        match decision {
            Decision::Forward(_) => {
                for path in paths(decision) {
                    self.outward.send((*header, path));
                }
            }
            Decision::Reset { .. } => {
                self.reset_at.entry(header.client_flow()).or_insert(self.now);
            }
            Decision::Drop(_) | Decision::HandOff { .. } => {}
            Decision::Queue { .. } => panic!("the route has no objective"),
        }
    }

    fn step(&mut self) {
        self.now += 1;
        for (header, path) in self.outward.tick() {
            if self.now >= self.agents_start_at {
                let back = self.now + TRANSIT_MS * (path.len() as Millis + 1);
                let last = path[path.len() - 1];
                self.returning.entry(back).or_default().push((header, last));
            }
        }
        for packet in self.returning.remove(&self.now).unwrap_or_default() {
            self.inward.send(packet);
        }
        for (header, from) in self.inward.tick() {
            let decision = self.fixture.bounced(&header, from, self.now);
            self.execute(&header, &decision);
        }
        if self.now.is_multiple_of(4) {
            for (header, _) in self.fixture.balancer.due_searches(self.now) {
                let decision = self.fixture.continue_search(&header, self.now);
                self.execute(&header, &decision);
            }
        }
    }

    /// Each flow's client sends a packet within the first 100 ms and retransmits it until the flow
    /// is reset. Returns the time until the last flow is reset.
    fn reset_all(&mut self, flows: u16) -> Millis {
        let heads: Vec<PacketHeader> = (0..flows).map(|number| data(flow(number))).collect();
        let began = self.now;
        while self.reset_at.len() < heads.len() {
            let elapsed = self.now - began;
            assert!(elapsed < 30_000, "{} of {flows} flows reset in time", self.reset_at.len());
            for (place, header) in heads.iter().enumerate() {
                let first = place as Millis * 100 / Millis::from(flows);
                let sends = [0, 200, 600, 1_400, 3_000, 4_600, 6_200, 7_800, 9_400];
                let is_sent_now = sends.iter().any(|after| elapsed == first + after);
                if is_sent_now && !self.reset_at.contains_key(&header.client_flow()) {
                    let decision = self.fixture.client(header, self.now);
                    self.execute(header, &decision);
                }
            }
            self.step();
        }
        self.now - began
    }
}

/// A power loss after which 19 balancers restart with 3,500 lost flows, about 190 each. The agents
/// start 150 ms after the balancer, whose first packets are lost by then.
#[test]
fn lost_flows_are_reset_soon_despite_lost_first_packets() {
    let mut simulation = Simulation::new(150);
    let elapsed_ms = simulation.reset_all(190);
    assert!(elapsed_ms <= 1_500, "{elapsed_ms} ms");
    // Seven paths per flow, doubled for the packets lost at first, and little more.
    let packets = simulation.outward.carried;
    assert!(packets <= 190 * 14, "{packets} packets");
}

/// With four times as many flows the link is busy longer, but only with the first search packets:
/// the time grows linearly with the number of flows.
#[test]
fn reset_time_grows_linearly_with_lost_flows() {
    let mut simulation = Simulation::new(150);
    let elapsed_ms = simulation.reset_all(760);
    assert!(elapsed_ms <= 4_500, "{elapsed_ms} ms");
    let packets = simulation.outward.carried;
    assert!(packets <= 760 * 14, "{packets} packets");
}

/// Sends the first packets of 400 lost flows at the same time. Returns the number of searches
/// started.
fn searches_started_at_once(link_kbps: Option<u32>) -> usize {
    let mut fixture = Fixture::new(&Store::with_many_targets(TARGETS));
    let limits = BalancerLimits { link_kbps, ..BalancerLimits::default() };
    fixture.balancer = Balancer::with_limits(Timing::default(), limits);
    let starts =
        |number| matches!(fixture.client(&data(flow(number)), LATER), Decision::Forward(_));
    (0..400).map(starts).filter(|is_started| *is_started).count()
}

#[test]
fn searches_start_within_the_link_budget() {
    // Seventy percent of 10 Mbit/s for 40 ms is 35,000 bytes, at 230 bytes per packet.
    assert_eq!(searches_started_at_once(Some(10_000)), 35_000_usize.div_ceil(230));
    assert_eq!(searches_started_at_once(Some(1_000_000)), 400);
    assert_eq!(searches_started_at_once(None), 400, "a link of unknown rate imposes no limit");
}

#[test]
fn deferred_search_starts_when_the_link_is_free() {
    let mut fixture = Fixture::new(&Store::with_many_targets(TARGETS));
    let limits = BalancerLimits { link_kbps: Some(10_000), ..BalancerLimits::default() };
    fixture.balancer = Balancer::with_limits(Timing::default(), limits);
    let mut number = 0;
    let wait_ms = loop {
        match fixture.client(&data(flow(number)), LATER) {
            Decision::Drop(DropReason::SearchWaits { wait_ms }) => break wait_ms,
            _ => number += 1,
        }
    };
    assert!((1..10).contains(&wait_ms), "{wait_ms}");
    let due = fixture.balancer.due_searches(LATER + wait_ms);
    assert_eq!(due.iter().map(|(header, _)| *header).collect::<Vec<_>>(), [data(flow(number))]);
    let again = fixture.continue_search(&data(flow(number)), LATER + wait_ms);
    assert!(matches!(again, Decision::Forward(_)));
}
