//! Weighted rendezvous hashing of one service's buckets onto its targets.
//!
//! Each bucket is owned by the target with the highest weighted score (Thaler and Ravishankar
//! 1998, with the logarithmic weighting of Schindelhauer and Schomaker 2005). A target's score for
//! a bucket does not depend on the other targets, so a change moves the minimum of buckets: those
//! of a removed target, or those that an added target wins.

use weirhinge_config::TargetId;

use crate::hash::mix;

/// Buckets per target. The table size is this times the number of targets, rounded up to a power
/// of two. The standard deviation of a target's share is about 1 / sqrt(128) = 9%; admission
/// corrects this imbalance by comparing candidates.
pub const BUCKETS_PER_TARGET: usize = 128;

/// Upper bound on the size of a table, in buckets.
const MAX_BUCKETS: usize = 1 << 16;

/// Maps each bucket to its owner and its standby owner, the target that would own the bucket if the
/// owner were removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketTable {
    owners: Vec<TargetId>,
    /// Empty if the service has a single target.
    standby_owners: Vec<TargetId>,
}

impl BucketTable {
    /// Builds the table for targets and their weights.
    ///
    /// The table size is computed from `member_count`, which includes draining targets. Otherwise,
    /// draining a target could change the size and thereby remap every bucket.
    pub fn build(service_seed: u64, targets: &[(TargetId, u32)], member_count: usize) -> Self {
        if targets.is_empty() {
            return Self { owners: Vec::new(), standby_owners: Vec::new() };
        }
        let size = (member_count.max(1) * BUCKETS_PER_TARGET).next_power_of_two().min(MAX_BUCKETS);
        let mut owners = Vec::with_capacity(size);
        let mut standby_owners = Vec::new();
        for bucket in 0..size as u64 {
            let (owner, standby_owner) = highest_scoring_targets(service_seed, bucket, targets);
            owners.push(owner);
            standby_owners.extend(standby_owner);
        }
        Self { owners, standby_owners }
    }

    /// Returns `true` if the service has no target that accepts new flows.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns the bucket of a flow hash. Must not be called on an empty table.
    pub fn bucket(&self, flow_hash: u64) -> u32 {
        debug_assert!(self.owners.len().is_power_of_two());
        (flow_hash & (self.owners.len() as u64 - 1)) as u32
    }

    /// Returns the owner of a bucket, or `None` if the table has no such bucket.
    pub fn owner(&self, bucket: u32) -> Option<TargetId> {
        self.owners.get(bucket as usize).copied()
    }

    /// Returns the standby owner of a bucket, or `None` if the service has a single target.
    pub fn standby_owner(&self, bucket: u32) -> Option<TargetId> {
        self.standby_owners.get(bucket as usize).copied()
    }

    /// Returns all owners in bucket order.
    pub fn owners(&self) -> &[TargetId] {
        &self.owners
    }
}

/// Returns the targets with the highest and second-highest score for a bucket.
fn highest_scoring_targets(
    service_seed: u64,
    bucket: u64,
    targets: &[(TargetId, u32)],
) -> (TargetId, Option<TargetId>) {
    let bucket_seed = mix(service_seed, bucket);
    let mut owner = Candidate::LOWEST;
    let mut standby_owner = Candidate::LOWEST;
    for &(target, weight) in targets {
        let score = score(mix(bucket_seed, u64::from(target.0) + 1), weight);
        let candidate = Candidate { score, target };
        if candidate.outranks(&owner) {
            standby_owner = owner;
            owner = candidate;
        } else if candidate.outranks(&standby_owner) {
            standby_owner = candidate;
        }
    }
    (owner.target, (targets.len() > 1).then_some(standby_owner.target))
}

#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    target: TargetId,
}

impl Candidate {
    const LOWEST: Self = Self { score: f64::NEG_INFINITY, target: TargetId(u16::MAX) };

    /// Ties go to the lower identifier, so that the result does not depend on the input order.
    fn outranks(&self, other: &Self) -> bool {
        self.score > other.score || (self.score == other.score && self.target < other.target)
    }
}

/// Returns `-weight / ln(u)`, with `u` derived from the hash and uniform in (0, 1). The logarithm
/// is `libm`'s software implementation, so that all machines compute bit-identical scores.
fn score(hash: u64, weight: u32) -> f64 {
    const STEP: f64 = 1.0 / (1_u64 << 53) as f64;
    let uniform = ((hash >> 11) as f64 + 0.5) * STEP;
    -f64::from(weight) / libm::log(uniform)
}
