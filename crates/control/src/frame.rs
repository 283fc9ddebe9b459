//! What balancers send each other, encoded by `musli`.

use std::net::SocketAddr;

use musli::{Decode, Encode};
use weirhinge_consensus::Envelope;
use weirhinge_wire::WireAddress;

use crate::handle::WriteError;
use crate::state_machine::{ConfigCommand, ConfigMachine, Outcome};

/// Version of the protocol; frames of another one are dropped.
pub(crate) const CONTROL_VERSION: u8 = 1;

/// Who sends a frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Sender {
    pub(crate) id: u64,
    pub(crate) zone: String,
    pub(crate) control: WireAddress,
}

/// One frame.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Frame {
    pub(crate) version: u8,
    /// Numbers the sender's frames upwards.
    pub(crate) number: u64,
    /// The group that the sender belongs to; 0 if none.
    pub(crate) group: u64,
    pub(crate) sender: Sender,
    pub(crate) body: FrameBody,
}

/// What a frame says.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum FrameBody {
    /// The sender lives.
    Hello,
    /// A message between replicas.
    Replica(#[musli(with = musli::serde)] Envelope<ConfigMachine>),
    /// A write for the leader.
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

impl Sender {
    pub(crate) fn address(&self) -> SocketAddr {
        self.control.into()
    }
}
