//! The data path: one thread that receives packets, routes them and sends them to agents.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use weirhinge_routing::{RouteBasis, RoutingTable};
use weirhinge_udp::{ReceiveBatch, SendBatch};

use crate::forward::Forwarder;
use crate::metrics::BalancerMetrics;

/// Maximum time to wait for packets before the thread checks for a shutdown.
pub(crate) const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// A graceful shutdown ends once no packet has arrived for this long. The fabric notices in less
/// time that this machine is leaving.
pub(crate) const QUIET_BEFORE_STOP: Duration = Duration::from_secs(5);

/// State of the data path's thread.
pub(crate) struct DataPath {
    pub(crate) socket: UdpSocket,
    pub(crate) table: Arc<ArcSwap<RoutingTable>>,
    pub(crate) metrics: BalancerMetrics,
    pub(crate) stopping: Arc<AtomicBool>,
    pub(crate) batch: usize,
}

impl DataPath {
    /// Forwards packets until a graceful shutdown has begun and no packet has arrived for
    /// [`QUIET_BEFORE_STOP`].
    ///
    /// # Errors
    /// When receiving from the socket fails.
    pub(crate) fn run(&self) -> io::Result<()> {
        let mut incoming = ReceiveBatch::new(self.batch);
        // Each packet may produce a copy for the standby owner.
        let mut outgoing = SendBatch::new(2 * self.batch);
        let mut last_packet = Instant::now();
        let mut was_stopping = false;
        loop {
            incoming.receive(&self.socket)?;
            let stopping = self.stopping.load(Ordering::Relaxed);
            let shutdown_began = stopping && !was_stopping;
            was_stopping = stopping;
            if incoming.datagrams().next().is_some() || shutdown_began {
                last_packet = Instant::now();
            }
            if stopping && last_packet.elapsed() >= QUIET_BEFORE_STOP {
                return Ok(());
            }
            self.forward_batch(&incoming, &mut outgoing);
        }
    }

    fn forward_batch(&self, incoming: &ReceiveBatch, outgoing: &mut SendBatch) {
        // One load per batch: the whole batch is routed by the same table, and the atomic pointer
        // is not read per packet.
        let table = self.table.load();
        let forwarder = Forwarder::new(&table);
        let mut received = 0;
        let mut hinted = 0;
        for packet in incoming.datagrams() {
            received += 1;
            match forwarder.forward(packet, outgoing.next_buffer()) {
                Ok(forwarded) => {
                    hinted += u64::from(forwarded.basis == RouteBasis::Hint);
                    outgoing.commit(forwarded.agent);
                    if let Some(copy) = forwarded.standby
                        && forwarder.forward_standby(&copy, packet, outgoing.next_buffer()).is_ok()
                    {
                        outgoing.commit(copy.agent());
                    }
                }
                Err(error) => self.metrics.packets_dropped.increment(error.name()),
            }
        }
        if received > 0 {
            let sent = outgoing.flush(&self.socket);
            self.metrics.packets_in.inc_by(received);
            self.metrics.packets_hinted.inc_by(hinted);
            self.metrics.packets_forwarded.inc_by(sent as u64);
        }
    }
}
