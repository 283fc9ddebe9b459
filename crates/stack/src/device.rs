//! A `smoltcp` device backed by two in-memory queues.

use std::collections::VecDeque;

use smoltcp::phy::{Checksum, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

use crate::INNER_MTU;

/// Packets to be read by the stack, and packets written by it.
#[derive(Debug, Default)]
pub(crate) struct QueueDevice {
    pub(crate) incoming: VecDeque<Vec<u8>>,
    pub(crate) outgoing: Vec<Vec<u8>>,
}

pub(crate) struct QueueRxToken(Vec<u8>);

impl RxToken for QueueRxToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

pub(crate) struct QueueTxToken<'a>(&'a mut Vec<Vec<u8>>);

impl TxToken for QueueTxToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, f: F) -> R {
        let mut packet = vec![0; length];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}

impl Device for QueueDevice {
    type RxToken<'a> = QueueRxToken;
    type TxToken<'a> = QueueTxToken<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(QueueRxToken, QueueTxToken<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((QueueRxToken(packet), QueueTxToken(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<QueueTxToken<'_>> {
        Some(QueueTxToken(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = INNER_MTU;
        // Incoming packets are queued only after their checksums have been verified.
        capabilities.checksum.ipv4 = Checksum::Tx;
        capabilities.checksum.tcp = Checksum::Tx;
        capabilities
    }
}
