//! Rejects misdirected packets, so that a packet for one service never reaches another.
//!
//! Addresses and ports are reassigned. A balancer with a stale configuration may send packets for
//! service A to an agent that now serves service B. The envelope contains the service and target
//! that the sender intended, and the agent compares both with its own before it processes the
//! packet.

use weirhinge_config::{ServiceId, TargetId};
use weirhinge_wire::PacketEnvelope;

/// Reason why an agent rejects an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceError {
    /// The envelope is for another service.
    WrongService,
    /// The envelope is for another target, although it was sent to this agent's address.
    WrongTarget,
    /// The packet's destination is unknown or belongs to another service at the agent's revision.
    WrongDestination,
}

impl FenceError {
    /// Returns the name of the reason as used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FenceError::WrongService => "wrong_service",
            FenceError::WrongTarget => "wrong_target",
            FenceError::WrongDestination => "wrong_destination",
        }
    }
}

/// The service and target that an agent accepts packets for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The service that the agent's back end serves.
    pub service: ServiceId,
    /// The target that the agent is co-located with.
    pub target: TargetId,
}

impl Fence {
    /// Checks that an envelope is addressed to this agent. `destination_service` is the service
    /// that listens on the packet's destination at the agent's own configuration revision. An
    /// unknown destination (`None`) is rejected as well.
    ///
    /// # Errors
    /// Returns the first of service, target and destination that does not match.
    pub fn check(
        &self,
        envelope: &PacketEnvelope<'_>,
        destination_service: Option<ServiceId>,
    ) -> Result<(), FenceError> {
        if ServiceId(envelope.service) != self.service {
            return Err(FenceError::WrongService);
        }
        if TargetId(envelope.target) != self.target {
            return Err(FenceError::WrongTarget);
        }
        if destination_service != Some(self.service) {
            return Err(FenceError::WrongDestination);
        }
        Ok(())
    }
}
