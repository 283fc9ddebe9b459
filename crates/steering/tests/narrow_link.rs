//! Lost flows behind a narrow link: the searches for their targets must not fill it so
//! that answers come too late, which would call for still more searches.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use support::{Fixture, LATER, Store, data, flow, paths};
use weirhinge_fleet::{Millis, Timing};
use weirhinge_steering::{Balancer, BalancerLimits, Decision, DropReason, FlowKey, PacketHeader};

/// What a link of 10 Mbit/s carries in a millisecond, each way.
const BYTES_A_MS: usize = 1_250;
/// A searching packet on the wire: 100 bytes of data and the heads.
const PACKET_BYTES: usize = 230;
/// Packets that a link holds before it drops further ones.
const QUEUE: usize = 1_000;
/// Time from one daemon to the next.
const TRIP_MS: Millis = 2;
/// Targets of the service.
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
        if self.queue.len() < QUEUE {
            self.queue.push_back(packet);
        }
    }

    /// What gets through in one millisecond.
    fn tick(&mut self) -> Vec<T> {
        self.credit = (self.credit + BYTES_A_MS).min(BYTES_A_MS.max(PACKET_BYTES) * 2);
        let count = (self.credit / PACKET_BYTES).min(self.queue.len());
        self.credit -= count * PACKET_BYTES;
        self.carried += count;
        self.queue.drain(..count).collect()
    }
}

/// A balancer that knows no flow, behind its link, before targets that hold none.
struct Simulation {
    fixture: Fixture,
    now: Millis,
    /// Until when the agents have not started.
    agents_from: Millis,
    outward: Link<(PacketHeader, Vec<Ipv4Addr>)>,
    inward: Link<(PacketHeader, Ipv4Addr)>,
    /// Packets that come back to the balancer's link, by time.
    returning: BTreeMap<Millis, Vec<(PacketHeader, Ipv4Addr)>>,
    reset_at: BTreeMap<FlowKey, Millis>,
}

impl Simulation {
    fn new(agents_from: Millis) -> Self {
        let mut fixture = Fixture::new(&Store::with_many_targets(TARGETS));
        let limits = BalancerLimits { link_kbps: Some(10_000), ..BalancerLimits::default() };
        fixture.balancer = Balancer::with_limits(Timing::default(), limits);
        Self {
            fixture,
            now: LATER,
            agents_from: LATER + agents_from,
            outward: Link { queue: VecDeque::new(), credit: 0, carried: 0 },
            inward: Link { queue: VecDeque::new(), credit: 0, carried: 0 },
            returning: BTreeMap::new(),
            reset_at: BTreeMap::new(),
        }
    }

    fn carry_out(&mut self, header: &PacketHeader, decision: &Decision) {
        match decision {
            Decision::Forward(_) => {
                for row in paths(decision) {
                    self.outward.send((*header, row));
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
        for (header, row) in self.outward.tick() {
            if self.now >= self.agents_from {
                let back = self.now + TRIP_MS * (row.len() as Millis + 1);
                let last = row[row.len() - 1];
                self.returning.entry(back).or_default().push((header, last));
            }
        }
        for packet in self.returning.remove(&self.now).unwrap_or_default() {
            self.inward.send(packet);
        }
        for (header, from) in self.inward.tick() {
            let decision = self.fixture.bounced(&header, from, self.now);
            self.carry_out(&header, &decision);
        }
        if self.now.is_multiple_of(4) {
            for (header, _) in self.fixture.balancer.due_searches(self.now) {
                let decision = self.fixture.search_again(&header, self.now);
                self.carry_out(&header, &decision);
            }
        }
    }

    /// Clients of these flows send a packet each within 100 ms, and again until they are
    /// reset. Returns the time until the last one was.
    fn reset_all(&mut self, flows: u16) -> Millis {
        let heads: Vec<PacketHeader> = (0..flows).map(|number| data(flow(number))).collect();
        let began = self.now;
        while self.reset_at.len() < heads.len() {
            let elapsed = self.now - began;
            assert!(elapsed < 30_000, "{} of {flows} reset", self.reset_at.len());
            for (place, header) in heads.iter().enumerate() {
                let first = place as Millis * 100 / Millis::from(flows);
                let sends = [0, 200, 600, 1_400, 3_000, 4_600, 6_200, 7_800, 9_400];
                let is_sent = sends.iter().any(|after| elapsed == first + after);
                if is_sent && !self.reset_at.contains_key(&header.client_flow()) {
                    let decision = self.fixture.client(header, self.now);
                    self.carry_out(header, &decision);
                }
            }
            self.step();
        }
        self.now - began
    }
}

/// A loss of power that 19 balancers come back from with 3,500 lost flows: some 190 for
/// each. Agents start 150 ms after the balancer, which has sent its first packets in vain
/// by then.
#[test]
fn lost_flows_are_reset_soon_though_the_first_packets_reached_nobody() {
    let mut simulation = Simulation::new(150);
    let took = simulation.reset_all(190);
    assert!(took <= 1_500, "{took} ms");
    // Seven rows for each flow, those that were lost twice, and not much more.
    let packets = simulation.outward.carried;
    assert!(packets <= 190 * 14, "{packets} packets");
}

/// With four times as many flows the link is busy for longer, but with the first copies
/// alone: time grows as the work does.
#[test]
fn more_flows_than_the_link_carries_at_once_are_reset_as_it_carries_them() {
    let mut simulation = Simulation::new(150);
    let took = simulation.reset_all(760);
    assert!(took <= 4_500, "{took} ms");
    let packets = simulation.outward.carried;
    assert!(packets <= 760 * 14, "{packets} packets");
}

/// Sends first packets of lost flows, all at one moment. Returns how many searches began.
fn begun_at_once(link_kbps: Option<u32>) -> usize {
    let mut fixture = Fixture::new(&Store::with_many_targets(TARGETS));
    let limits = BalancerLimits { link_kbps, ..BalancerLimits::default() };
    fixture.balancer = Balancer::with_limits(Timing::default(), limits);
    let begins =
        |number| matches!(fixture.client(&data(flow(number)), LATER), Decision::Forward(_));
    (0..400).map(begins).filter(|begins| *begins).count()
}

#[test]
fn searches_begin_as_far_as_the_link_allows() {
    // 40 ms of seven tenths of 10 Mbit/s are 35,000 bytes, 230 for each packet.
    assert_eq!(begun_at_once(Some(10_000)), 35_000_usize.div_ceil(230));
    assert_eq!(begun_at_once(Some(1_000_000)), 400);
    assert_eq!(begun_at_once(None), 400, "a link of unknown rate bounds nothing");
}

#[test]
fn a_search_that_waits_begins_when_the_link_is_free_again() {
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
    let again = fixture.search_again(&data(flow(number)), LATER + wait_ms);
    assert!(matches!(again, Decision::Forward(_)));
}
