//! Keeps a packet for one service from ever reaching another.
//!
//! Addresses and ports change hands; a stale balancer may send what it believes
//! to be service A to an agent that serves service B by now. The envelope names
//! the service and the target that the sender meant, and the agent compares
//! both with its own before anything else.

use weirhinge_config::{ServiceId, TargetId};
use weirhinge_wire::PacketEnvelope;

/// Why an envelope is not for this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceError {
    /// The envelope is for another service.
    WrongService,
    /// The envelope is for another target at this address.
    WrongTarget,
    /// The packet's destination belongs to another service at this agent's revision.
    WrongDestination,
}

impl FenceError {
    /// The reason's name as it appears in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FenceError::WrongService => "wrong_service",
            FenceError::WrongTarget => "wrong_target",
            FenceError::WrongDestination => "wrong_destination",
        }
    }
}

/// What one agent stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The service that the agent's back end serves.
    pub service: ServiceId,
    /// The target that the agent stands beside.
    pub target: TargetId,
}

impl Fence {
    /// Checks an envelope. `destination_service` is the service that has the
    /// packet's destination at the agent's own revision; an address unknown to
    /// the agent is refused as well.
    ///
    /// # Errors
    /// Which of the three disagrees.
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
