//! An agent's decisions about packets to and from the target beside it.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ReturnReason, ServiceId};

use crate::packet::{FlowKey, PacketHead};
use crate::waiting_room::{WaitedOpening, WaitingRoom};

/// Deliveries remembered to find the balancer of a bounced packet. A bounce comes
/// back within a millisecond or so.
const REMEMBERED_DELIVERIES: usize = 2_048;
/// Most flows that an agent follows; the target itself holds fewer.
const FLOW_CAPACITY: usize = 8_192;
/// A flow that rested for this long is no longer followed.
const FLOW_IDLE_MS: Millis = 60_000;

/// Time in which the request of an admitted flow is expected: a client's journey
/// there and back, and then some.
const EXPECTED_MS: Millis = 60;
/// A request without an answer for this long no longer counts: its client gave up
/// or its answer was not seen.
const LONGEST_REQUEST_MS: Millis = 3_000;
/// Requests in hand, in percent of the slots, at which new flows wait.
const ROOM_PERCENT: u32 = 150;
/// The same for flows of urgent routes.
const URGENT_ROOM_PERCENT: u32 = 250;
/// A client's packet on its way to the target.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The packet's head.
    pub head: &'a PacketHead,
    /// The packet.
    pub packet: &'a [u8],
    /// The balancer that sent it.
    pub balancer: Ipv4Addr,
    /// The service that the balancer meant.
    pub service: ServiceId,
    /// Whether the balancer only guesses that the target holds the flow.
    pub search: bool,
    /// Whether an opening packet may wait until the target has room.
    pub may_wait: bool,
    /// Whether an opening packet goes before others.
    pub urgent: bool,
}

/// What to do with a packet that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// Hand it to the target under this label.
    Deliver(WaitedOpening, u32),
    /// Send it back to its balancer.
    Return(WaitedOpening),
}

/// What to do with a packet for the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryDecision {
    /// Hand it to the target under this label.
    Deliver {
        /// The label, which a bounced packet brings back.
        echo: u32,
        /// What to tell the balancer at once, if it searches for a flow that the
        /// target is known to hold.
        notice: Option<HoldsNotice>,
    },
    /// Send it back to the balancer.
    Return(ReturnReason),
    /// It waits here until the target has room.
    Wait,
    /// A copy of it waits here already.
    WaitsAlready,
}

/// Tells a balancer that the target holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldsNotice {
    /// The balancer that sent the flow's latest packet.
    pub balancer: Ipv4Addr,
    /// The flow.
    pub flow: FlowKey,
    /// Whether the target sent more than an answer to an opening packet.
    pub confirmed: bool,
}

/// Why a packet of the target was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputDrop {
    /// A bounced packet whose delivery is not remembered.
    UnknownDelivery,
}

/// What to do with a packet that the target sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputDecision {
    /// Send it to the client.
    ToClient {
        /// What to tell a balancer.
        notice: Option<HoldsNotice>,
    },
    /// Send it back to the balancer that it came from.
    Return {
        /// The balancer.
        balancer: Ipv4Addr,
    },
    /// Do nothing.
    Drop(OutputDrop),
}

#[derive(Clone, Copy, Debug)]
struct Delivery {
    echo: u32,
    balancer: Ipv4Addr,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    balancer: Ipv4Addr,
    /// When a request was delivered to which nothing was answered yet.
    waiting_since: Option<Millis>,
    /// Where the client's data delivered so far ends. Data before it was sent
    /// again and asks for nothing new.
    delivered_to: Option<u32>,
    /// The flow was admitted and its first request is yet to come.
    expected: bool,
    /// The balancer does not know yet that the target holds the flow.
    report: bool,
    /// The target sent more than an answer to an opening packet.
    confirmed: bool,
    used_at: Millis,
}

impl Flow {
    /// Whether the target holds the flow as far as can be told: it wrote on it, or
    /// took data of it that no search brought. A bounce removes the entry.
    fn is_held(&self) -> bool {
        self.confirmed || (self.delivered_to.is_some() && !self.report)
    }

    /// Notes the packet's data. Returns whether any of it is new.
    fn takes_new_data(&mut self, head: &PacketHead) -> bool {
        let end = head.sequence.wrapping_add(u32::from(head.length));
        // Sequence numbers wrap: half of the range counts as ahead.
        let is_ahead = |known: u32| end.wrapping_sub(known) as i32 > 0;
        let is_new = head.length > 0 && self.delivered_to.is_none_or(is_ahead);
        if is_new {
            self.delivered_to = Some(end);
        }
        is_new
    }
}

/// The state of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    service: ServiceId,
    deliveries: Vec<Option<Delivery>>,
    next_echo: u32,
    flows: HashMap<FlowKey, Flow>,
    waiting: u32,
    /// Admitted flows whose first request is yet to come.
    expected: u32,
    /// Those flows in the order of admission, with the time until which they count.
    expectations: VecDeque<(Millis, FlowKey)>,
    openings: WaitingRoom,
    /// Requests that the target works on at once; none if not known.
    slots: Option<u32>,
    leaving: bool,
}

impl Agent {
    /// An agent beside a target of this service.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            deliveries: vec![None; REMEMBERED_DELIVERIES],
            next_echo: 1,
            flows: HashMap::new(),
            waiting: 0,
            expected: 0,
            expectations: VecDeque::new(),
            openings: WaitingRoom::default(),
            slots: None,
            leaving: false,
        }
    }

    /// Requests that wait for an answer of the target.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Number of flows followed.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Takes no new flows from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes how many requests the target works on at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Decides about a client's packet that a balancer sent.
    pub fn delivery(&mut self, arrival: &Arrival<'_>, now: Millis) -> DeliveryDecision {
        if arrival.head.is_opening() {
            if arrival.service != self.service {
                return DeliveryDecision::Return(ReturnReason::OtherService);
            }
            if self.leaving {
                return DeliveryDecision::Return(ReturnReason::Leaving);
            }
            let is_new = !self.flows.contains_key(&arrival.head.client_flow());
            if is_new && is_busy(self.slots, self.load(), arrival.urgent) {
                return self.busy_opening(arrival, now);
            }
        }
        let notice = self.search_notice(arrival);
        // A balancer that is told now need not be told when the target answers.
        let search = arrival.search && notice.is_none();
        let echo = self.admit(arrival.head, arrival.balancer, search, now);
        DeliveryDecision::Deliver { echo, notice }
    }

    /// The next waiting opening packet that has an outcome.
    pub fn next_outcome(&mut self, now: Millis) -> Option<WaitOutcome> {
        self.drop_expectations(now);
        if let Some(opening) = self.openings.take_over(self.leaving, now) {
            return Some(WaitOutcome::Return(opening));
        }
        let load = self.load();
        let slots = self.slots;
        let opening = self.openings.take_first(|urgent| !is_busy(slots, load, urgent))?;
        let echo = self.admit(&opening.head, opening.balancer, false, now);
        Some(WaitOutcome::Deliver(opening, echo))
    }

    /// The answer to a search for a flow that the target holds as far as this agent
    /// knows. The target itself may take longer to answer than a balancer waits
    /// before it looks elsewhere; if it lost the flow, its bounce corrects this.
    fn search_notice(&self, arrival: &Arrival<'_>) -> Option<HoldsNotice> {
        let flow = arrival.head.client_flow();
        let entry = self.flows.get(&flow).filter(|_| arrival.search)?;
        entry.is_held().then_some(HoldsNotice {
            balancer: arrival.balancer,
            flow,
            confirmed: true,
        })
    }

    fn busy_opening(&mut self, arrival: &Arrival<'_>, now: Millis) -> DeliveryDecision {
        if self.openings.has(&arrival.head.client_flow()) {
            return DeliveryDecision::WaitsAlready;
        }
        if !arrival.may_wait || self.openings.is_full() {
            return DeliveryDecision::Return(ReturnReason::Busy);
        }
        self.openings.add(arrival, now);
        DeliveryDecision::Wait
    }

    /// Requests in hand and those that admitted flows are about to bring.
    fn load(&self) -> u32 {
        self.waiting + self.expected
    }

    fn admit(&mut self, head: &PacketHead, balancer: Ipv4Addr, search: bool, now: Millis) -> u32 {
        self.follow(head, balancer, search, now);
        self.remember(balancer)
    }

    fn drop_expectations(&mut self, now: Millis) {
        while let Some((until, flow)) = self.expectations.front().copied() {
            if until > now {
                return;
            }
            self.expectations.pop_front();
            self.fulfil(&flow);
        }
    }

    /// A flow's first request came, or is no longer expected.
    fn fulfil(&mut self, flow: &FlowKey) {
        if let Some(flow) = self.flows.get_mut(flow)
            && std::mem::take(&mut flow.expected)
        {
            self.expected -= 1;
        }
    }

    /// Decides about a packet that the target sent.
    pub fn output(&mut self, head: &PacketHead, now: Millis) -> OutputDecision {
        if head.flags.bounced {
            return self.bounced(head);
        }
        let flow = head.target_flow();
        let Some(entry) = self.flows.get_mut(&flow) else {
            return OutputDecision::ToClient { notice: None };
        };
        entry.used_at = now;
        let ends = head.flags.fin || head.flags.rst;
        if (head.length > 0 || ends) && entry.waiting_since.take().is_some() {
            self.waiting -= 1;
        }
        let answers_opening = head.flags.syn && head.flags.ack;
        let notice = HoldsNotice { balancer: entry.balancer, flow, confirmed: !answers_opening };
        let is_due = answers_opening || entry.report;
        entry.report &= answers_opening;
        entry.confirmed |= !answers_opening;
        if head.flags.rst {
            self.forget(&flow);
        }
        OutputDecision::ToClient { notice: is_due.then_some(notice) }
    }

    /// Stops following flows that rested long.
    pub fn expire(&mut self, now: Millis) {
        self.drop_expectations(now);
        let waiting = &mut self.waiting;
        self.flows.retain(|_, flow| {
            let keep = now.saturating_sub(flow.used_at) < FLOW_IDLE_MS;
            let waits = flow
                .waiting_since
                .take_if(|since| !keep || now.saturating_sub(*since) >= LONGEST_REQUEST_MS);
            if waits.is_some() {
                *waiting -= 1;
            }
            keep
        });
    }

    fn bounced(&mut self, head: &PacketHead) -> OutputDecision {
        self.forget(&head.client_flow());
        let place = head.echo as usize % REMEMBERED_DELIVERIES;
        match self.deliveries[place].filter(|delivery| delivery.echo == head.echo) {
            Some(delivery) => OutputDecision::Return { balancer: delivery.balancer },
            None => OutputDecision::Drop(OutputDrop::UnknownDelivery),
        }
    }

    fn remember(&mut self, balancer: Ipv4Addr) -> u32 {
        let echo = self.next_echo;
        // 0 is what clients and targets write themselves.
        self.next_echo = self.next_echo.checked_add(1).unwrap_or(1);
        self.deliveries[echo as usize % REMEMBERED_DELIVERIES] = Some(Delivery { echo, balancer });
        echo
    }

    fn follow(&mut self, head: &PacketHead, balancer: Ipv4Addr, search: bool, now: Millis) {
        let flow = head.client_flow();
        let is_new = !self.flows.contains_key(&flow);
        if is_new && self.flows.len() >= FLOW_CAPACITY {
            return;
        }
        let is_expected = is_new && head.is_opening();
        let entry = self.flows.entry(flow).or_insert(Flow {
            balancer,
            waiting_since: None,
            delivered_to: None,
            expected: is_expected,
            report: search,
            confirmed: false,
            used_at: now,
        });
        entry.balancer = balancer;
        entry.used_at = now;
        entry.report |= search;
        if entry.takes_new_data(head) && entry.waiting_since.is_none() {
            entry.waiting_since = Some(now);
            self.waiting += 1;
        }
        if is_expected {
            self.expected += 1;
            self.expectations.push_back((now + EXPECTED_MS, flow));
        }
        if head.length > 0 {
            self.fulfil(&flow);
        }
        if head.flags.rst {
            self.forget(&flow);
        }
    }

    fn forget(&mut self, flow: &FlowKey) {
        self.fulfil(flow);
        if self.flows.remove(flow).is_some_and(|flow| flow.waiting_since.is_some()) {
            self.waiting -= 1;
        }
    }
}

/// Whether new flows must wait. A short queue at the target keeps it at work, a
/// longer one only ages; urgent flows may make it longer, as requests on flows that
/// are open already cannot be kept from going before them. A target of unknown size
/// is never busy.
fn is_busy(slots: Option<u32>, load: u32, urgent: bool) -> bool {
    let percent = if urgent { URGENT_ROOM_PERCENT } else { ROOM_PERCENT };
    slots.is_some_and(|slots| load * 100 >= slots * percent)
}
