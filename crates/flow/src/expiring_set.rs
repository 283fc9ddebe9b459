//! Bounded set whose members expire after a fixed time.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Set with a time-to-live and a capacity. If the set is full, an insertion evicts the oldest
/// member early.
#[derive(Debug)]
pub struct ExpiringSet<T> {
    members: HashSet<T>,
    insertion_order: VecDeque<(Instant, T)>,
    lifetime: Duration,
    capacity: usize,
}

impl<T: Eq + Hash + Copy> ExpiringSet<T> {
    /// Creates an empty set that holds up to `capacity` members for `lifetime` each.
    pub fn new(lifetime: Duration, capacity: usize) -> Self {
        Self {
            members: HashSet::new(),
            insertion_order: VecDeque::new(),
            lifetime,
            capacity: capacity.max(1),
        }
    }

    /// Inserts a member. Returns `false`, without extending its lifetime, if it is already present.
    pub fn insert(&mut self, member: T, now: Instant) -> bool {
        self.remove_expired(now);
        if !self.members.insert(member) {
            return false;
        }
        if self.insertion_order.len() >= self.capacity {
            self.evict_oldest();
        }
        self.insertion_order.push_back((now, member));
        true
    }

    /// Returns `true` if the set contains the member and it has not expired.
    pub fn contains(&mut self, member: &T, now: Instant) -> bool {
        self.remove_expired(now);
        self.members.contains(member)
    }

    /// Returns the number of members, including expired ones that have not been removed yet.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if the set has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(&(inserted_at, _)) = self.insertion_order.front() {
            if now.saturating_duration_since(inserted_at) < self.lifetime {
                return;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, member)) = self.insertion_order.pop_front() {
            self.members.remove(&member);
        }
    }
}
