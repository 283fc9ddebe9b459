//! Batched UDP: many datagrams by one system call, which is most of what a
//! forwarded packet costs.

mod batch;

pub use batch::{DATAGRAM_ROOM, ReceiveBatch, SendBatch};
