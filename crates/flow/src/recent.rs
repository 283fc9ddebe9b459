//! A bounded set whose members expire after a fixed time.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Remembers members for a fixed time, and at most a fixed number of them: the
/// oldest is forgotten early when the set is full.
#[derive(Debug)]
pub struct RecentSet<T> {
    members: HashSet<T>,
    by_age: VecDeque<(Instant, T)>,
    lifetime: Duration,
    capacity: usize,
}

impl<T: Eq + Hash + Copy> RecentSet<T> {
    /// An empty set.
    pub fn new(lifetime: Duration, capacity: usize) -> Self {
        Self {
            members: HashSet::new(),
            by_age: VecDeque::new(),
            lifetime,
            capacity: capacity.max(1),
        }
    }

    /// Adds a member; returns false, without renewing it, if it is there already.
    pub fn insert(&mut self, member: T, now: Instant) -> bool {
        self.expire(now);
        if !self.members.insert(member) {
            return false;
        }
        if self.by_age.len() >= self.capacity {
            self.forget_oldest();
        }
        self.by_age.push_back((now, member));
        true
    }

    /// Whether the set holds a member at this moment.
    pub fn contains(&mut self, member: &T, now: Instant) -> bool {
        self.expire(now);
        self.members.contains(member)
    }

    /// Number of members that have not been expired yet.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(added, _)) = self.by_age.front() {
            if now.saturating_duration_since(added) < self.lifetime {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, member)) = self.by_age.pop_front() {
            self.members.remove(&member);
        }
    }
}
