//! Plans membership changes: which replica to add to the voters or remove from
//! them next.

use std::collections::BTreeMap;

use crate::node::ReplicaId;

/// A replica's liveness as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The replica has answered this leader recently.
    Alive,
    /// The replica has not answered this leader yet, but the leader has not waited
    /// long enough to consider it dead.
    Unknown,
    /// The replica has not answered for too long.
    Dead,
}

/// The state of a replica that is a voter or could become one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The zone that it runs in.
    pub zone: String,
    /// The replica's liveness.
    pub liveness: Liveness,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Whether its log has caught up with the leader's commit index.
    pub caught_up: bool,
}

/// The desired set of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPlan {
    /// Desired number of voters. Should be odd.
    pub size: usize,
}

/// A change of the voters by one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Promotes a learner that has caught up to a voter.
    Add(ReplicaId),
    /// Removes a voter.
    Remove(ReplicaId),
}

/// Returns the next change that the leader `own` should propose, if one is due.
///
/// Dead voters are removed first, which never raises the number of live voters that
/// a majority needs. Next, voters are added up to the planned size, from the zone
/// with the fewest voters. Then leaving voters are removed, and finally those beyond
/// the planned size. These last two removals wait while any voter is dead or its
/// liveness is unknown: a leader that takes dead voters for live ones could
/// otherwise remove its own majority.
pub fn plan_change(
    plan: &MembershipPlan,
    own: ReplicaId,
    voters: &[ReplicaId],
    replicas: &[ReplicaStatus],
) -> Option<MembershipChange> {
    let by_id: BTreeMap<ReplicaId, &ReplicaStatus> =
        replicas.iter().map(|replica| (replica.id, replica)).collect();
    let voters_with = |liveness: Liveness| -> Vec<ReplicaId> {
        let matches =
            |id: &ReplicaId| by_id.get(id).is_some_and(|replica| replica.liveness == liveness);
        voters.iter().copied().filter(|id| matches(id)).collect()
    };
    let (alive, unknown) = (voters_with(Liveness::Alive), voters_with(Liveness::Unknown));
    let dead = voters.iter().copied().find(|id| !alive.contains(id) && !unknown.contains(id));
    if let Some(dead) = dead
        && 2 * alive.len() > voters.len() - 1
    {
        return Some(MembershipChange::Remove(dead));
    }
    let is_leaving = |id: &ReplicaId| by_id.get(id).is_some_and(|replica| replica.leaving);
    let staying: Vec<ReplicaId> = alive.iter().copied().filter(|id| !is_leaving(id)).collect();
    if staying.len() + unknown.len() < plan.size
        && let Some(addition) = best_addition(voters, &staying, &by_id)
    {
        return Some(MembershipChange::Add(addition));
    }
    if dead.is_some() || !unknown.is_empty() {
        return None;
    }
    if let Some(leaving) = alive.iter().copied().find(|id| is_leaving(id))
        && staying.len() >= plan.size.min(voters.len() - 1)
        && voters.len() > 1
    {
        return Some(MembershipChange::Remove(leaving));
    }
    if staying.len() > plan.size {
        return surplus_voter(own, &staying, &by_id).map(MembershipChange::Remove);
    }
    None
}

fn zone_counts<'a>(
    ids: &[ReplicaId],
    by_id: &BTreeMap<ReplicaId, &'a ReplicaStatus>,
) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for replica in ids.iter().filter_map(|id| by_id.get(id)) {
        *counts.entry(replica.zone.as_str()).or_default() += 1;
    }
    counts
}

fn best_addition(
    voters: &[ReplicaId],
    staying: &[ReplicaId],
    by_id: &BTreeMap<ReplicaId, &ReplicaStatus>,
) -> Option<ReplicaId> {
    let counts = zone_counts(staying, by_id);
    by_id
        .values()
        .filter(|replica| {
            replica.caught_up
                && !replica.leaving
                && replica.liveness == Liveness::Alive
                && !voters.contains(&replica.id)
        })
        .min_by_key(|replica| (counts.get(replica.zone.as_str()).copied().unwrap_or(0), replica.id))
        .map(|replica| replica.id)
}

fn surplus_voter(
    own: ReplicaId,
    staying: &[ReplicaId],
    by_id: &BTreeMap<ReplicaId, &ReplicaStatus>,
) -> Option<ReplicaId> {
    let counts = zone_counts(staying, by_id);
    staying.iter().copied().filter(|&id| id != own).max_by_key(|id| {
        let zone = by_id.get(id).map_or("", |replica| replica.zone.as_str());
        (counts.get(zone).copied().unwrap_or(0), *id)
    })
}
