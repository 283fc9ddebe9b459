//! Batched UDP: many datagrams by one system call, which is most of what a
//! forwarded packet costs.

mod receive;
mod send;

pub use receive::{DATAGRAM_ROOM, ReceiveBatch};
pub use send::SendBatch;
