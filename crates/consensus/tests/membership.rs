//! Planning of membership changes.

use weirhinge_consensus::{
    Liveness, MembershipChange, MembershipPlan, ReplicaId, ReplicaStatus, plan_change,
};

const PLAN: MembershipPlan = MembershipPlan { size: 3 };
const OWN: ReplicaId = ReplicaId(1);

fn replica(id: u64, zone: &str, liveness: Liveness) -> ReplicaStatus {
    ReplicaStatus {
        id: ReplicaId(id),
        zone: zone.to_owned(),
        liveness,
        leaving: false,
        caught_up: true,
    }
}

fn plan(voters: &[u64], replicas: &[ReplicaStatus]) -> Option<MembershipChange> {
    let voters: Vec<ReplicaId> = voters.iter().copied().map(ReplicaId).collect();
    plan_change(&PLAN, OWN, &voters, replicas)
}

#[test]
fn healthy_group_needs_no_change() {
    let replicas = [1, 2, 3, 4].map(|id| replica(id, "a", Liveness::Alive));
    assert_eq!(plan(&[1, 2, 3], &replicas), None);
}

#[test]
fn dead_voter_is_removed_before_one_is_added() {
    let mut replicas = [1, 2, 3, 4].map(|id| replica(id, "a", Liveness::Alive));
    replicas[2].liveness = Liveness::Dead;
    let removed = plan(&[1, 2, 3], &replicas);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(3))));
    assert_eq!(plan(&[1, 2], &replicas), Some(MembershipChange::Add(ReplicaId(4))));
}

#[test]
fn caught_up_replica_in_least_used_zone_is_added() {
    let mut replicas = vec![
        replica(1, "a", Liveness::Alive),
        replica(2, "b", Liveness::Alive),
        replica(3, "a", Liveness::Alive),
        replica(4, "c", Liveness::Alive),
    ];
    assert_eq!(plan(&[1, 2], &replicas), Some(MembershipChange::Add(ReplicaId(4))));
    replicas[3].caught_up = false;
    assert_eq!(plan(&[1, 2], &replicas), Some(MembershipChange::Add(ReplicaId(3))));
}

#[test]
fn leaving_voter_is_removed_after_replacement_joined() {
    let mut replicas = [1, 2, 3, 4].map(|id| replica(id, "a", Liveness::Alive));
    replicas[1].leaving = true;
    assert_eq!(plan(&[1, 2, 3], &replicas), Some(MembershipChange::Add(ReplicaId(4))));
    let removed = plan(&[1, 2, 3, 4], &replicas);
    assert_eq!(removed, Some(MembershipChange::Remove(ReplicaId(2))));
}

/// Guards against a group without a leader: a new leader that took dead voters for
/// live ones removed a live voter, itself, as surplus.
#[test]
fn surplus_voter_stays_while_a_liveness_is_unknown() {
    let mut replicas = [1, 2, 3, 4, 5].map(|id| replica(id, "a", Liveness::Alive));
    replicas[4].liveness = Liveness::Unknown;
    assert_eq!(plan(&[1, 2, 3, 4, 5], &replicas), None);
    replicas[4].liveness = Liveness::Alive;
    let removed = plan(&[1, 2, 3, 4, 5], &replicas);
    assert!(matches!(removed, Some(MembershipChange::Remove(id)) if id != OWN));
}

#[test]
fn dead_voters_stay_without_a_live_majority() {
    let mut replicas = [1, 2, 3].map(|id| replica(id, "a", Liveness::Dead));
    replicas[0].liveness = Liveness::Alive;
    assert_eq!(plan(&[1, 2, 3], &replicas), None);
}
