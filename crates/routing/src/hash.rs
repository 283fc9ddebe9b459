//! Keyed flow hash, identical on all balancers and agents.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use siphasher::sip::SipHasher13;
use weirhinge_config::HashKey;
use weirhinge_packet::{FlowKey, Protocol};

/// Hashes flows with SipHash-1-3 under a secret key. Without the key, a client cannot direct its
/// flows at one bucket.
#[derive(Clone, Copy, Debug)]
pub struct FlowHasher {
    hasher: SipHasher13,
}

impl FlowHasher {
    /// Creates a hasher with this key.
    pub fn new(key: &HashKey) -> Self {
        Self { hasher: SipHasher13::new_with_key(&key.0) }
    }

    /// Returns the flow's hash, which is the same in every process with the same key.
    pub fn hash(&self, key: &FlowKey) -> u64 {
        let mut hasher = self.hasher;
        hasher.write_u8(match key.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        });
        write_address(&mut hasher, key.source);
        write_address(&mut hasher, key.destination);
        hasher.finish()
    }
}

fn write_address(hasher: &mut SipHasher13, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => hasher.write_u32(ip.to_bits()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write_u16(address.port());
}

/// Combines two numbers into one hash with the finalizer of SplitMix64.
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
