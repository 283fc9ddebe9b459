//! The flow table, the directory and the fence.

use std::time::{Duration, Instant};

use weirhinge_config::{ServiceId, TargetId};
use weirhinge_flow::table::FlowTableError;
use weirhinge_flow::{
    Directory, Fence, FenceError, FlowTable, LookupStep, RecentSet, StandbyQueue,
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
fn a_key_rests_after_its_flow() {
    let mut table = FlowTable::new(4, QUARANTINE);
    let start = Instant::now();
    table.insert(key(1), "first", start).expect("inserted");
    assert_eq!(table.insert(key(1), "again", start), Err(FlowTableError::Present));
    assert_eq!(table.remove(&key(1), start), Some("first"));
    let early = start + QUARANTINE - Duration::from_millis(1);
    assert_eq!(table.insert(key(1), "early", early), Err(FlowTableError::Quarantined));
    assert_eq!(table.insert(key(1), "later", start + QUARANTINE), Ok(()));
}

#[test]
fn a_released_key_is_free_at_once() {
    let mut table = FlowTable::new(4, QUARANTINE);
    let start = Instant::now();
    table.insert(key(1), (), start).expect("inserted");
    assert_eq!(table.release(&key(1)), Some(()));
    assert_eq!(table.insert(key(1), (), start), Ok(()));
}

#[test]
fn opening_flows_are_bounded_and_the_oldest_yields() {
    let mut table = FlowTable::new(3, QUARANTINE);
    let start = Instant::now();
    for port in 1..=3 {
        table.insert(key(port), port, start).expect("inserted");
    }
    table.opened(&key(1), false);
    table.insert(key(4), 4, start).expect("an open flow is not opening");
    assert_eq!(table.insert(key(5), 5, start), Err(FlowTableError::HalfOpenLimit));
    let later = start + Duration::from_secs(3);
    table.insert(key(5), 5, later).expect("the oldest opening flow yields");
    assert_eq!(table.get(&key(2)), None, "the oldest opening flow");
    assert_eq!(table.get(&key(1)), Some(&1), "an open flow never yields");
    assert_eq!(table.opening(), 3);
}

#[test]
fn a_flood_of_openings_keeps_the_table_bounded() {
    let mut table = FlowTable::new(16, QUARANTINE);
    let start = Instant::now();
    for number in 0..20_000_u32 {
        let now = start + Duration::from_millis(u64::from(number));
        let _ = table.insert(key((number % 60_000) as u16), (), now);
        assert!(table.opening() <= 16 && table.len() <= 16);
    }
}

const OTHERS: [TargetId; 2] = [TargetId(2), TargetId(3)];

#[test]
fn silence_is_never_taken_for_absence() {
    let mut directory = Directory::default();
    let start = Instant::now();
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", start), LookupStep::Ask);
    directory.answered(&key(1), TargetId(2), Holding::Not, start);
    for seconds in 1..20 {
        let now = start + Duration::from_secs(seconds);
        let step = directory.locate(&key(1), &OTHERS, b"a", now);
        assert_eq!(step, LookupStep::Ask, "target 3 has not answered yet");
    }
    directory.answered(&key(1), TargetId(3), Holding::Not, start);
    let now = start + Duration::from_secs(20);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", now), LookupStep::Absent);
}

#[test]
fn held_packets_go_on_with_the_answer() {
    let mut directory = Directory::default();
    let now = Instant::now();
    assert_eq!(directory.locate(&key(1), &OTHERS, b"one", now), LookupStep::Ask);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"two", now), LookupStep::Wait);
    let released = directory.answered(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(released, [b"one".to_vec(), b"two".to_vec()]);
    let step = directory.locate(&key(1), &OTHERS, b"three", now);
    assert_eq!(step, LookupStep::Forward(vec![TargetId(3)]));
    assert!(directory.answered(&key(1), TargetId(3), Holding::Open, now).is_empty());
}

#[test]
fn a_holder_that_denies_is_asked_about_again() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.answered(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(
        directory.locate(&key(1), &OTHERS, b"a", now),
        LookupStep::Forward(vec![TargetId(3)])
    );
    directory.answered(&key(1), TargetId(2), Holding::Not, now);
    assert_eq!(
        directory.locate(&key(1), &OTHERS, b"a", now),
        LookupStep::Forward(vec![TargetId(3)])
    );
    directory.answered(&key(1), TargetId(3), Holding::Not, now);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", now), LookupStep::Ask);
}

#[test]
fn a_holder_that_left_the_configuration_is_forgotten() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.answered(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(directory.locate(&key(1), &[TargetId(2)], b"a", now), LookupStep::Ask);
}

#[test]
fn the_directory_is_bounded_and_forgets() {
    let mut directory = Directory::default();
    let now = Instant::now();
    for port in 0..40_000 {
        directory.locate(&key(port), &OTHERS, &[0; 100], now);
    }
    assert!(directory.len() <= 16_384);
    directory.expire(now + Duration::from_secs(60));
    assert!(directory.is_empty());
    assert_eq!(directory.locate(&key(1), &OTHERS, b"held again", now), LookupStep::Ask);
    assert_eq!(directory.answered(&key(1), TargetId(2), Holding::Open, now).len(), 1);
}

#[test]
fn a_recent_set_is_bounded_in_time_and_number() {
    let mut set = RecentSet::new(Duration::from_secs(1), 2);
    let now = Instant::now();
    assert!(set.insert(1, now));
    assert!(!set.insert(1, now));
    assert!(set.insert(2, now) && set.insert(3, now));
    assert!(!set.contains(&1, now), "the oldest goes when the set is full");
    assert!(set.contains(&3, now));
    assert!(!set.contains(&3, now + Duration::from_secs(1)));
}

#[test]
fn the_fence_lets_nothing_pass_to_another_service_or_target() {
    let fence = Fence { service: ServiceId(1), target: TargetId(4) };
    let envelope = PacketEnvelope {
        revision: 1,
        service: 1,
        target: 4,
        delivery: Delivery::Owner,
        hops: 0,
        packet: &[],
    };
    let own = Some(ServiceId(1));
    assert_eq!(fence.check(&envelope, own), Ok(()));
    let other_service = PacketEnvelope { service: 2, ..envelope };
    assert_eq!(fence.check(&other_service, own), Err(FenceError::WrongService));
    let other_target = PacketEnvelope { target: 5, ..envelope };
    assert_eq!(fence.check(&other_target, own), Err(FenceError::WrongTarget));
    assert_eq!(fence.check(&envelope, Some(ServiceId(2))), Err(FenceError::WrongDestination));
    assert_eq!(fence.check(&envelope, None), Err(FenceError::WrongDestination));
}

#[test]
fn a_silent_owner_is_not_waited_for_until_it_claims_again() {
    let mut queue = StandbyQueue::default();
    let owner = TargetId(2);
    let mut now = Instant::now();
    for port in 0..3 {
        assert!(!queue.is_silent(owner, now));
        queue.push(key(port), owner, b"opening", now);
        queue.push(key(port), owner, b"repeated", now);
        now = queue.next_due().expect("waiting");
        assert!(queue.take_due(now, |_| false).is_some());
        assert!(queue.take_due(now, |_| false).is_none(), "a repeated packet waits once");
    }
    assert!(queue.is_silent(owner, now));
    assert!(!queue.is_silent(TargetId(3), now));
    queue.push(key(9), owner, b"opening", now);
    now = queue.next_due().expect("waiting");
    assert!(queue.take_due(now, |_| true).is_none(), "claimed");
    assert!(!queue.is_silent(owner, now));
}

#[test]
fn standing_by_is_bounded() {
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

/// The fault behind a flow without answer that rehearsals found: a new owner
/// knew only a claim that had lost, and the flow was open elsewhere.
#[test]
fn an_old_claim_is_doubted() {
    let mut directory = Directory::default();
    let start = Instant::now();
    directory.answered(&key(1), TargetId(2), Holding::Opening, start);
    let forward = LookupStep::Forward(vec![TargetId(2)]);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", start), forward);
    let later = start + Duration::from_secs(1);
    let doubted = LookupStep::ForwardAndAsk(vec![TargetId(2)]);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", later), doubted);
    assert_eq!(directory.locate(&key(1), &OTHERS, b"a", later), forward, "asked just now");
    directory.answered(&key(1), TargetId(3), Holding::Open, later);
    let step = directory.locate(&key(1), &OTHERS, b"a", later);
    assert_eq!(step, LookupStep::Forward(vec![TargetId(3)]));
}

/// Two agents answered one opening packet, and the claim of the one whose answer the caller
/// took up came a moment after its first request: that had gone to the other one alone, and
/// was answered only after the caller had sent it again.
#[test]
fn held_packets_go_on_to_each_later_claimant() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.answered(&key(1), TargetId(2), Holding::Opening, now);
    let step = directory.locate(&key(1), &OTHERS, b"request", now);
    assert_eq!(step, LookupStep::Forward(vec![TargetId(2)]));
    let released = directory.answered(&key(1), TargetId(3), Holding::Opening, now);
    assert_eq!(released, [b"request".to_vec()]);
    assert!(directory.answered(&key(1), TargetId(3), Holding::Opening, now).is_empty(), "once");
    assert!(directory.answered(&key(1), TargetId(3), Holding::Open, now).is_empty(), "it has it");
}

#[test]
fn held_packets_go_on_to_a_holder_that_never_claimed() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.answered(&key(1), TargetId(2), Holding::Opening, now);
    directory.locate(&key(1), &OTHERS, b"request", now);
    let released = directory.answered(&key(1), TargetId(3), Holding::Open, now);
    assert_eq!(released, [b"request".to_vec()]);
}

/// The same at an agent whose own half-open flow was handed the packet.
#[test]
fn what_an_own_flow_was_handed_is_held_until_it_opens() {
    let mut directory = Directory::default();
    let now = Instant::now();
    directory.hold_for_claimants(&key(1), b"request", now);
    let released = directory.answered(&key(1), TargetId(3), Holding::Opening, now);
    assert_eq!(released, [b"request".to_vec()]);
    directory.hold_for_claimants(&key(2), b"request", now);
    directory.forget(&key(2));
    assert!(directory.answered(&key(2), TargetId(3), Holding::Opening, now).is_empty());
}

/// Packets are held for a moment each: what is held and never released would leave no room.
#[test]
fn what_is_held_makes_room_again() {
    let mut directory = Directory::default();
    let start = Instant::now();
    for round in 0..4 {
        let now = start + Duration::from_secs(60 * round);
        for port in 0..2_000 {
            directory.hold_for_claimants(&key(port), b"request", now);
            directory.answered(&key(port), TargetId(2), Holding::Opening, now);
        }
        directory.expire(now + Duration::from_secs(40));
        assert!(directory.is_empty());
    }
    directory.hold_for_claimants(&key(1), b"request", start);
    assert_eq!(directory.answered(&key(1), TargetId(2), Holding::Open, start).len(), 1);
}
