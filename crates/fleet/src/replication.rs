//! Selection of the agents that hold a full replica of the store's contents.
//!
//! Balancers keep what they know in memory only. When all of them stop while the store is down, the
//! records of the targets would be lost, and balancers that start could not find the targets that
//! hold open flows. Some agents therefore replicate everything that balancers know, and balancers
//! that start fetch it from them.
//!
//! Balancers select these agents from the known targets by a hash of the agent's address, so all of
//! them select the same ones without coordination, and the choice is independent of zones and
//! services. When one of them leaves, only its successor changes.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::Ipv4Addr;

use siphasher::sip::SipHasher13;

use crate::model::TargetState;
use crate::replica::Replica;

/// Number of agents that hold a full replica; all agents in a smaller fleet. It does not grow with
/// the fleet, so that the traffic for replicas grows with the number of targets only. If each agent
/// fails with a probability of one half, all replicas are lost once in four billion times.
pub const FULL_REPLICAS: usize = 32;

/// Returns the agents that hold a full replica: those of ready targets with the lowest hashes.
pub fn full_replica_agents(replica: &Replica) -> BTreeSet<Ipv4Addr> {
    let mut selected: BTreeSet<(u64, Ipv4Addr)> = BTreeSet::new();
    for entry in replica.targets().filter(|entry| entry.target.present) {
        let record = entry.target.record.as_ref();
        let Some(record) = record.filter(|record| record.state == TargetState::Ready) else {
            continue;
        };
        selected.insert((hash_address(record.address), record.machine()));
        if selected.len() > FULL_REPLICAS {
            selected.pop_last();
        }
    }
    selected.into_iter().map(|(_, agent)| agent).collect()
}

fn hash_address(address: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&address.to_be_bytes());
    hasher.finish()
}
