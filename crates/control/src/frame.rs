//! Frames that balancers send each other, encoded by `musli`.

use std::net::SocketAddr;

use musli::{Decode, Encode};
use weirhinge_consensus::Envelope;
use weirhinge_wire::WireAddress;

use crate::handle::WriteError;
use crate::state_machine::{ConfigCommand, ConfigStateMachine, Outcome};

/// Version of the protocol. Frames of other versions are rejected.
pub(crate) const CONTROL_VERSION: u8 = 1;

/// The sender of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FrameSender {
    /// The sender's replica identity.
    pub(crate) id: u64,
    pub(crate) zone: String,
    /// The TCP address to which the sender's peers connect.
    pub(crate) control: WireAddress,
}

/// A frame: the sender, its group and a message.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Frame {
    pub(crate) version: u8,
    /// Sequence number, increasing with each frame of the sender.
    pub(crate) number: u64,
    /// The group that the sender belongs to. 0 if it has not joined one.
    pub(crate) group: u64,
    pub(crate) sender: FrameSender,
    pub(crate) body: FrameBody,
}

/// The message in a frame.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum FrameBody {
    /// Announces the sender and its group.
    Hello,
    /// A message between replicas.
    Replica(#[musli(with = musli::serde)] Envelope<ConfigStateMachine>),
    /// A write, forwarded to the leader.
    Write {
        ticket: u64,
        #[musli(with = musli::serde)]
        command: ConfigCommand,
    },
    /// The leader's answer to a write.
    WriteAnswer {
        ticket: u64,
        #[musli(with = musli::serde)]
        answer: Result<Outcome, WriteError>,
    },
}

impl FrameSender {
    pub(crate) fn address(&self) -> SocketAddr {
        self.control.into()
    }
}
