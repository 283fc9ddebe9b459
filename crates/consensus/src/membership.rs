//! Decides how the voters follow the machines, one change at a time.

use std::collections::BTreeMap;

use crate::node::ReplicaId;

/// What the leader knows of a replica's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has answered this leader lately.
    Alive,
    /// It has not answered this leader yet, and has not had time to.
    Unknown,
    /// It has been silent for too long.
    Dead,
}

/// A replica that is, or might become, a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica.
    pub id: ReplicaId,
    /// The zone that it runs in.
    pub zone: String,
    /// Whether it lives.
    pub liveness: Liveness,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Whether its log has caught up with the leader's commit index.
    pub caught_up: bool,
}

/// What the voters should be like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPlan {
    /// Number of voters wanted; odd.
    pub size: usize,
}

/// One change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Make a caught-up learner a voter.
    Add(ReplicaId),
    /// Take a voter out.
    Remove(ReplicaId),
}

/// The next change that the leader `own` should make, if one is due.
///
/// The dead go first: that never raises the number of living voters which a
/// majority needs. Then voters are added up to the plan, in the zone with the
/// fewest; then the leaving go, and last those beyond the plan, but only when
/// nobody's life is unknown: a leader that takes the dead for living might
/// otherwise remove its own majority.
pub fn plan_change(
    plan: &MembershipPlan,
    own: ReplicaId,
    voters: &[ReplicaId],
    candidates: &[Candidate],
) -> Option<MembershipChange> {
    let by_id: BTreeMap<ReplicaId, &Candidate> =
        candidates.iter().map(|candidate| (candidate.id, candidate)).collect();
    let with = |liveness: Liveness| -> Vec<ReplicaId> {
        let is = |id: &ReplicaId| by_id.get(id).is_some_and(|one| one.liveness == liveness);
        voters.iter().copied().filter(|id| is(id)).collect()
    };
    let (alive, unknown) = (with(Liveness::Alive), with(Liveness::Unknown));
    let dead = voters.iter().copied().find(|id| !alive.contains(id) && !unknown.contains(id));
    if let Some(dead) = dead
        && 2 * alive.len() > voters.len() - 1
    {
        return Some(MembershipChange::Remove(dead));
    }
    let is_leaving = |id: &ReplicaId| by_id.get(id).is_some_and(|one| one.leaving);
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
        return most_crowded(own, &staying, &by_id).map(MembershipChange::Remove);
    }
    None
}

fn zone_counts<'a>(
    ids: &[ReplicaId],
    by_id: &BTreeMap<ReplicaId, &'a Candidate>,
) -> BTreeMap<&'a str, usize> {
    let mut counts = BTreeMap::new();
    for candidate in ids.iter().filter_map(|id| by_id.get(id)) {
        *counts.entry(candidate.zone.as_str()).or_default() += 1;
    }
    counts
}

fn best_addition(
    voters: &[ReplicaId],
    sound: &[ReplicaId],
    by_id: &BTreeMap<ReplicaId, &Candidate>,
) -> Option<ReplicaId> {
    let counts = zone_counts(sound, by_id);
    by_id
        .values()
        .filter(|candidate| {
            candidate.caught_up
                && !candidate.leaving
                && candidate.liveness == Liveness::Alive
                && !voters.contains(&candidate.id)
        })
        .min_by_key(|candidate| {
            (counts.get(candidate.zone.as_str()).copied().unwrap_or(0), candidate.id)
        })
        .map(|candidate| candidate.id)
}

fn most_crowded(
    own: ReplicaId,
    sound: &[ReplicaId],
    by_id: &BTreeMap<ReplicaId, &Candidate>,
) -> Option<ReplicaId> {
    let counts = zone_counts(sound, by_id);
    sound.iter().copied().filter(|&id| id != own).max_by_key(|id| {
        let zone = by_id.get(id).map_or("", |candidate| candidate.zone.as_str());
        (counts.get(zone).copied().unwrap_or(0), *id)
    })
}
