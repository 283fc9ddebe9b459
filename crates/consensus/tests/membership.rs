//! The plan for voters, one change at a time.

use weirhinge_consensus::{
    Candidate, Liveness, MembershipChange, MembershipPlan, ReplicaId, plan_change,
};

const PLAN: MembershipPlan = MembershipPlan { size: 3 };
const OWN: ReplicaId = ReplicaId(1);

fn candidate(id: u64, zone: &str, liveness: Liveness) -> Candidate {
    Candidate {
        id: ReplicaId(id),
        zone: zone.to_owned(),
        liveness,
        leaving: false,
        caught_up: true,
    }
}

fn plan(voters: &[u64], candidates: &[Candidate]) -> Option<MembershipChange> {
    let voters: Vec<ReplicaId> = voters.iter().copied().map(ReplicaId).collect();
    plan_change(&PLAN, OWN, &voters, candidates)
}

#[test]
fn a_sound_group_is_left_alone() {
    let candidates = [1, 2, 3, 4].map(|id| candidate(id, "a", Liveness::Alive));
    assert_eq!(plan(&[1, 2, 3], &candidates), None);
}

#[test]
fn the_dead_go_before_others_come() {
    let mut candidates = [1, 2, 3, 4].map(|id| candidate(id, "a", Liveness::Alive));
    candidates[2].liveness = Liveness::Dead;
    let removed = plan(&[1, 2, 3], &candidates);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(3))));
    assert_eq!(plan(&[1, 2], &candidates), Some(MembershipChange::Add(ReplicaId(4))));
}

#[test]
fn newcomers_come_from_the_emptiest_zone_and_only_when_caught_up() {
    let mut candidates = vec![
        candidate(1, "a", Liveness::Alive),
        candidate(2, "b", Liveness::Alive),
        candidate(3, "a", Liveness::Alive),
        candidate(4, "c", Liveness::Alive),
    ];
    assert_eq!(plan(&[1, 2], &candidates), Some(MembershipChange::Add(ReplicaId(4))));
    candidates[3].caught_up = false;
    assert_eq!(plan(&[1, 2], &candidates), Some(MembershipChange::Add(ReplicaId(3))));
}

#[test]
fn a_leaving_voter_goes_after_its_replacement_has_come() {
    let mut candidates = [1, 2, 3, 4].map(|id| candidate(id, "a", Liveness::Alive));
    candidates[1].leaving = true;
    assert_eq!(plan(&[1, 2, 3], &candidates), Some(MembershipChange::Add(ReplicaId(4))));
    let removed = plan(&[1, 2, 3, 4], &candidates);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(2))));
}

/// The fault behind a group without a leader that the simulation found: a new
/// leader took dead voters for living and removed a living one, itself.
#[test]
fn nobody_is_removed_as_surplus_while_a_life_is_unknown() {
    let mut candidates = [1, 2, 3, 4, 5].map(|id| candidate(id, "a", Liveness::Alive));
    candidates[4].liveness = Liveness::Unknown;
    assert_eq!(plan(&[1, 2, 3, 4, 5], &candidates), None);
    candidates[4].liveness = Liveness::Alive;
    let removed = plan(&[1, 2, 3, 4, 5], &candidates);
    assert!(matches!(removed, Some(MembershipChange::Remove(id)) if id != OWN));
}

#[test]
fn the_dead_stay_when_their_removal_would_need_them() {
    let mut candidates = [1, 2, 3].map(|id| candidate(id, "a", Liveness::Dead));
    candidates[0].liveness = Liveness::Alive;
    assert_eq!(plan(&[1, 2, 3], &candidates), None);
}
