//! Flow table, holder directory, expiring set, standby queue and fence.

use std::time::{Duration, Instant};

use weirhinge_config::{ServiceId, TargetId};
use weirhinge_flow::table::FlowTableError;
use weirhinge_flow::{
    ExpiringSet, Fence, FenceError, FlowTable, HolderDirectory, LookupStep, StandbyQueue,
};
use weirhinge_packet::{FlowKey, Protocol};
use weirhinge_wire::{Delivery, Holding, PacketEnvelope};

const QUARANTINE: Duration = Duration::from_secs(30);

fn key(port: u16) -> FlowKey {
    FlowKey {
        protocol: Protocol::Tcp,
        source: ([198, 18, 0, 1], port).into(),
        destination: ([203, 0, 113, 10], 8_443).into(),
    }
}

#[test]
fn key_is_quarantined_after_removal() {
    let mut table = FlowTable::new(4, QUARANTINE);
    let start = Instant::now();
    table.insert(key(1), "first", start).expect("flow is inserted");
    assert_eq!(table.insert(key(1), "again", start), Err(FlowTableError::Present));
    assert_eq!(table.remove(&key(1), start), Some("first"));
    let early = start + QUARANTINE - Duration::from_millis(1);
    assert_eq!(table.insert(key(1), "early", early), Err(FlowTableError::Quarantined));
    assert_eq!(table.insert(key(1), "later", start + QUARANTINE), Ok(()));
}

#[test]
fn released_key_is_not_quarantined() {
    let mut table = FlowTable::new(4, QUARANTINE);
    let start = Instant::now();
    table.insert(key(1), (), start).expect("flow is inserted");
    assert_eq!(table.release(&key(1)), Some(()));
    assert_eq!(table.insert(key(1), (), start), Ok(()));
}

#[test]
fn oldest_half_open_flow_is_evicted_at_limit() {
    let mut table = FlowTable::new(3, QUARANTINE);
    let start = Instant::now();
    for port in 1..=3 {
        table.insert(key(port), port, start).expect("flow is inserted");
    }
    table.mark_open(&key(1), false);
    table.insert(key(4), 4, start).expect("open flows do not count towards the half-open limit");
    assert_eq!(table.insert(key(5), 5, start), Err(FlowTableError::HalfOpenLimit));
    let later = start + Duration::from_secs(3);
    table.insert(key(5), 5, later).expect("the oldest half-open flow is evicted");
    assert_eq!(table.get(&key(2)), None, "the oldest half-open flow was evicted");
    assert_eq!(table.get(&key(1)), Some(&1), "an open flow is never evicted");
    assert_eq!(table.half_open_count(), 3);
}

#[test]
fn syn_flood_does_not_exceed_half_open_limit() {
    let mut table = FlowTable::new(16, QUARANTINE);
    let start = Instant::now();
    for attempt in 0..20_000_u32 {
        let now = start + Duration::from_millis(u64::from(attempt));
        let _ = table.insert(key((attempt % 60_000) as u16), (), now);
        assert!(table.half_open_count() <= 16 && table.len() <= 16);
    }
}

const OTHERS: [TargetId; 2] = [TargetId(2), TargetId(3)];

#[test]
fn missing_answer_does_not_mean_absent() {
    let mut directory = HolderDirectory::default();
    let start = Instant::now();
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", start), LookupStep::Query);
    directory.record_answer(&key(1), TargetId(2), Holding::Not, start);
    for seconds in 1..20 {
        let now = start + Duration::from_secs(seconds);
        let step = directory.locate(&key(1), &OTHERS, b"a", now);
        assert_eq!(step, LookupStep::Query, "target 3 has not answered yet");
    }
    directory.record_answer(&key(1), TargetId(3), Holding::Not, start);
    let now = start + Duration::from_secs(20);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", now), LookupStep::Absent);
}

#[test]
fn buffered_packets_are_released_to_holder() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    assert_eq!(directory.locate(&key(1), &OTHERS, b"one", now), LookupStep::Query);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"two", now), LookupStep::Wait);
    let released = directory.record_answer(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(released, [b"one".to_vec(), b"two".to_vec()]);
    let step = directory.locate(&key(1), &OTHERS, b"three", now);
    assert_eq!(step, LookupStep::Forward(vec![TargetId(3)]));
    assert!(directory.record_answer(&key(1), TargetId(3), Holding::Open, now).is_empty());
}

#[test]
fn denial_by_holder_restarts_query() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    directory.record_answer(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(
        directory.locate(&key(1), &OTHERS, b"a", now),
        LookupStep::Forward(vec![TargetId(3)])
    );
    directory.record_answer(&key(1), TargetId(2), Holding::Not, now);
    assert_eq!(
        directory.locate(&key(1), &OTHERS, b"a", now),
        LookupStep::Forward(vec![TargetId(3)])
    );
    directory.record_answer(&key(1), TargetId(3), Holding::Not, now);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", now), LookupStep::Query);
}

#[test]
fn holder_removed_from_configuration_is_ignored() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    directory.record_answer(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(directory.locate(&key(1), &[TargetId(2)], b"a", now), LookupStep::Query);
}

#[test]
fn directory_is_bounded_and_entries_expire() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    for port in 0..40_000 {
        directory.locate(&key(port), &OTHERS, &[0; 100], now);
    }
    assert!(directory.len() <= 16_384);
    directory.expire(now + Duration::from_secs(60));
    assert!(directory.is_empty());
    assert_eq!(directory.locate(&key(1), &OTHERS, b"buffered again", now), LookupStep::Query);
    assert_eq!(directory.record_answer(&key(1), TargetId(2), Holding::Open, now).len(), 1);
}

#[test]
fn expiring_set_is_bounded_by_lifetime_and_capacity() {
    let mut set = ExpiringSet::new(Duration::from_secs(1), 2);
    let now = Instant::now();
    assert!(set.insert(1, now));
    assert!(!set.insert(1, now));
    assert!(set.insert(2, now) && set.insert(3, now));
    assert!(!set.contains(&1, now), "the oldest member is evicted when the set is full");
    assert!(set.contains(&3, now));
    assert!(!set.contains(&3, now + Duration::from_secs(1)));
}

#[test]
fn fence_rejects_other_service_target_and_destination() {
    let fence = Fence { service: ServiceId(1), target: TargetId(4) };
    let envelope = PacketEnvelope {
        revision: 1,
        service: 1,
        target: 4,
        delivery: Delivery::Owner,
        hops: 0,
        packet: &[],
    };
    let own_service = Some(ServiceId(1));
    assert_eq!(fence.check(&envelope, own_service), Ok(()));
    let other_service = PacketEnvelope { service: 2, ..envelope };
    assert_eq!(fence.check(&other_service, own_service), Err(FenceError::WrongService));
    let other_target = PacketEnvelope { target: 5, ..envelope };
    assert_eq!(fence.check(&other_target, own_service), Err(FenceError::WrongTarget));
    assert_eq!(fence.check(&envelope, Some(ServiceId(2))), Err(FenceError::WrongDestination));
    assert_eq!(fence.check(&envelope, None), Err(FenceError::WrongDestination));
}

#[test]
fn owner_is_unresponsive_after_missed_claims_until_it_claims_again() {
    let mut queue = StandbyQueue::default();
    let owner = TargetId(2);
    let mut now = Instant::now();
    for port in 0..3 {
        assert!(!queue.is_unresponsive(owner, now));
        queue.push(key(port), owner, b"opening", now);
        queue.push(key(port), owner, b"retransmission", now);
        now = queue.next_due().expect("a packet is queued");
        assert!(queue.take_due(now, |_| false).is_some());
        assert!(queue.take_due(now, |_| false).is_none(), "a retransmission is not queued again");
    }
    assert!(queue.is_unresponsive(owner, now));
    assert!(!queue.is_unresponsive(TargetId(3), now));
    queue.push(key(9), owner, b"opening", now);
    now = queue.next_due().expect("a packet is queued");
    assert!(queue.take_due(now, |_| true).is_none(), "a claimed packet is not returned");
    assert!(!queue.is_unresponsive(owner, now));
}

#[test]
fn standby_queue_is_bounded() {
    let mut queue = StandbyQueue::default();
    let now = Instant::now();
    for port in 0..10_000 {
        queue.push(key(port), TargetId(2), b"opening", now);
    }
    let later = now + Duration::from_secs(1);
    let mut taken = 0;
    while queue.take_due(later, |_| false).is_some() {
        taken += 1;
    }
    assert_eq!(taken, 4_096);
}

/// Guards against a flow that gets no response: a new owner knows only the claim of an agent that
/// the client did not choose, while the flow is open at another agent.
#[test]
fn other_agents_are_queried_about_old_claim() {
    let mut directory = HolderDirectory::default();
    let start = Instant::now();
    directory.record_answer(&key(1), TargetId(2), Holding::Opening, start);
    let forward = LookupStep::Forward(vec![TargetId(2)]);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", start), forward);
    let later = start + Duration::from_secs(1);
    let forward_and_query = LookupStep::ForwardAndQuery(vec![TargetId(2)]);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", later), forward_and_query);
    assert_eq!(
        directory.locate(&key(1), &OTHERS, b"a", later),
        forward,
        "the query was sent just now"
    );
    directory.record_answer(&key(1), TargetId(3), Holding::Open, later);
    let step = directory.locate(&key(1), &OTHERS, b"a", later);
    assert_eq!(step, LookupStep::Forward(vec![TargetId(3)]));
}

/// Guards against a delayed response: two agents answer one opening packet, and the claim of the
/// agent that the client chooses arrives after the client's first request. Without buffering, only
/// the other agent gets that request, and the client has to retransmit it.
#[test]
fn buffered_packets_are_released_to_each_later_claimant() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    directory.record_answer(&key(1), TargetId(2), Holding::Opening, now);
    let step = directory.locate(&key(1), &OTHERS, b"request", now);
    assert_eq!(step, LookupStep::Forward(vec![TargetId(2)]));
    let released = directory.record_answer(&key(1), TargetId(3), Holding::Opening, now);
    assert_eq!(released, [b"request".to_vec()]);
    assert!(
        directory.record_answer(&key(1), TargetId(3), Holding::Opening, now).is_empty(),
        "released once"
    );
    assert!(
        directory.record_answer(&key(1), TargetId(3), Holding::Open, now).is_empty(),
        "a claimant has already received the packet"
    );
}

#[test]
fn buffered_packets_are_released_to_holder_without_claim() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    directory.record_answer(&key(1), TargetId(2), Holding::Opening, now);
    directory.locate(&key(1), &OTHERS, b"request", now);
    let released = directory.record_answer(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(released, [b"request".to_vec()]);
}

/// The packet was delivered to this agent's own half-open flow, and another agent claims the flow.
#[test]
fn packets_of_own_half_open_flow_are_buffered_until_forgotten() {
    let mut directory = HolderDirectory::default();
    let now = Instant::now();
    directory.buffer_for_claimants(&key(1), b"request", now);
    let released = directory.record_answer(&key(1), TargetId(3), Holding::Opening, now);
    assert_eq!(released, [b"request".to_vec()]);
    directory.buffer_for_claimants(&key(2), b"request", now);
    directory.forget(&key(2));
    assert!(directory.record_answer(&key(2), TargetId(3), Holding::Opening, now).is_empty());
}

/// Guards against a leak: if packets of expired flows still counted towards the total limit, no
/// further packets could be buffered.
#[test]
fn expired_packets_free_buffer_capacity() {
    let mut directory = HolderDirectory::default();
    let start = Instant::now();
    for round in 0..4 {
        let now = start + Duration::from_secs(60 * round);
        for port in 0..2_000 {
            directory.buffer_for_claimants(&key(port), b"request", now);
            directory.record_answer(&key(port), TargetId(2), Holding::Opening, now);
        }
        directory.expire(now + Duration::from_secs(40));
        assert!(directory.is_empty());
    }
    directory.buffer_for_claimants(&key(1), b"request", start);
    assert_eq!(directory.record_answer(&key(1), TargetId(2), Holding::Open, start).len(), 1);
}
