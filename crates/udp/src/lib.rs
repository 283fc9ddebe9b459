//! Batched UDP: sends and receives many datagrams per system call, because system calls account
//! for most of the cost of forwarding a packet.

mod receive;
mod send;

pub use receive::{DATAGRAM_BUFFER_BYTES, ReceiveBatch};
pub use send::SendBatch;
