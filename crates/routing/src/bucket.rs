//! The bucket table of one service: weighted rendezvous hashing per bucket.
//!
//! Each bucket goes to the target with the highest weighted score (Thaler and
//! Ravishankar 1998, with the logarithmic weighting of Schindelhauer and
//! Schomaker 2005). A target's score for a bucket depends on nothing else, so
//! that a change moves only the buckets which it must: those of a target that
//! went, or those that a new one wins.

use weirhinge_config::TargetId;

use crate::hash::mix;

/// Buckets per target; a table has this many times its targets, rounded up to
/// a power of two. A share's standard deviation is about 1 / sqrt(128) = 9%;
/// comparing candidates at admission takes that out again.
pub const BUCKETS_PER_TARGET: usize = 128;

/// Largest table, in buckets.
const MAXIMUM_BUCKETS: usize = 1 << 16;

/// Maps each bucket to its owner and to the deputy, which would own the bucket
/// if the owner went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketTable {
    owners: Vec<TargetId>,
    /// Empty for a service with a single target.
    deputies: Vec<TargetId>,
}

impl BucketTable {
    /// Builds the table for targets with their weights. The size comes from
    /// `size_for` targets, which also counts draining ones, so that draining a
    /// target does not change the size and thereby move every bucket.
    pub fn build(service_seed: u64, targets: &[(TargetId, u32)], size_for: usize) -> Self {
        if targets.is_empty() {
            return Self { owners: Vec::new(), deputies: Vec::new() };
        }
        let size = (size_for.max(1) * BUCKETS_PER_TARGET).next_power_of_two().min(MAXIMUM_BUCKETS);
        let mut owners = Vec::with_capacity(size);
        let mut deputies = Vec::new();
        for bucket in 0..size as u64 {
            let (owner, deputy) = best_targets(service_seed, bucket, targets);
            owners.push(owner);
            deputies.extend(deputy);
        }
        Self { owners, deputies }
    }

    /// Whether the service has no target that takes new flows.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Number of buckets.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// The bucket of a flow hash. Must not be called on an empty table.
    pub fn bucket(&self, flow_hash: u64) -> u32 {
        debug_assert!(self.owners.len().is_power_of_two());
        (flow_hash & (self.owners.len() as u64 - 1)) as u32
    }

    /// The owner of a bucket, if the table has that bucket.
    pub fn owner(&self, bucket: u32) -> Option<TargetId> {
        self.owners.get(bucket as usize).copied()
    }

    /// The deputy of a bucket, if the service has more than one target.
    pub fn deputy(&self, bucket: u32) -> Option<TargetId> {
        self.deputies.get(bucket as usize).copied()
    }

    /// All owners in bucket order.
    pub fn owners(&self) -> &[TargetId] {
        &self.owners
    }
}

/// The two best targets of a bucket.
fn best_targets(
    service_seed: u64,
    bucket: u64,
    targets: &[(TargetId, u32)],
) -> (TargetId, Option<TargetId>) {
    let bucket_seed = mix(service_seed, bucket);
    let mut owner = Candidate::WORST;
    let mut deputy = Candidate::WORST;
    for &(target, weight) in targets {
        let score = score(mix(bucket_seed, u64::from(target.0) + 1), weight);
        let candidate = Candidate { score, target };
        if candidate.beats(&owner) {
            deputy = owner;
            owner = candidate;
        } else if candidate.beats(&deputy) {
            deputy = candidate;
        }
    }
    (owner.target, (targets.len() > 1).then_some(deputy.target))
}

#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    target: TargetId,
}

impl Candidate {
    const WORST: Self = Self { score: f64::NEG_INFINITY, target: TargetId(u16::MAX) };

    /// A tie goes to the lower identifier, whatever the order of the list.
    fn beats(&self, other: &Self) -> bool {
        self.score > other.score || (self.score == other.score && self.target < other.target)
    }
}

/// `-weight / ln(u)` for a uniform `u`. `libm` computes the logarithm in
/// software, so that every machine gets the same bits.
fn score(hash: u64, weight: u32) -> f64 {
    const UNIT: f64 = 1.0 / (1_u64 << 53) as f64;
    let uniform = ((hash >> 11) as f64 + 0.5) * UNIT;
    -f64::from(weight) / libm::log(uniform)
}
