//! Copies bytes between a [`TcpEndpoint`] and an asynchronous byte stream.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::endpoint::{ReadOutcome, TcpEndpoint};

/// Largest number of bytes copied at once; bounds the call stack memory that a copy uses.
const CHUNK_BYTES: usize = 4_096;
/// Longest sleep between two polls of an endpoint that has no timer due.
const MAXIMUM_SLEEP: Duration = Duration::from_secs(3_600);

/// Sends an endpoint's packets. Sending must not block: a packet that cannot be sent is dropped, and
/// TCP retransmits it.
pub trait PacketSink: Send {
    /// Sends one packet, or drops it if that would block.
    fn send(&mut self, packet: &[u8]);
}

/// Receives the events of a flow.
pub trait FlowObserver: Send {
    /// Called when the handshake with the peer completes.
    fn on_established(&mut self) {}
    /// Called when bytes from the peer were written to the stream.
    fn on_peer_data(&mut self) {}
    /// Called when bytes from the stream were queued for the peer.
    fn on_stream_data(&mut self) {}
    /// Called once, when both directions are closed or the flow ends otherwise. After an orderly
    /// close, late packets of the peer may still arrive.
    fn on_finished(&mut self) {}
}

/// A [`FlowObserver`] that ignores all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl FlowObserver for NoObserver {}

/// How a spliced flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpliceEnd {
    /// Both directions were closed in an orderly way.
    Closed,
    /// The peer reset the flow or did not respond within the endpoint's timeout.
    PeerReset,
    /// The stream failed, and a reset was sent to the peer.
    StreamFailed,
    /// The sender of the packet queue was dropped, and a reset was sent to the peer.
    Cancelled,
    /// The handshake never completed.
    NeverOpened,
}

/// State of one direction of the splice.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DirectionState {
    Open,
    Closed,
}

struct Splice<'a, S, K, O> {
    endpoint: TcpEndpoint,
    stream: Option<S>,
    packets: &'a mut mpsc::Receiver<Vec<u8>>,
    sink: K,
    observer: O,
    started_at: Instant,
    /// End of the time for the handshake; none once it is complete.
    handshake_deadline: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    /// Bytes received from the peer that have not been written to the stream yet.
    pending: Vec<u8>,
    from_peer: DirectionState,
    from_stream: DirectionState,
    established: bool,
    finished: bool,
}

/// Runs one flow until it ends. `packets` delivers the packets from the peer, and
/// `handshake_timeout` limits the time until the handshake is complete.
pub async fn splice<S, K, O>(
    endpoint: TcpEndpoint,
    stream: S,
    packets: &mut mpsc::Receiver<Vec<u8>>,
    sink: K,
    observer: O,
    handshake_timeout: Duration,
) -> SpliceEnd
where
    S: AsyncRead + AsyncWrite + Unpin,
    K: PacketSink,
    O: FlowObserver,
{
    let now = Instant::now();
    let mut splice = Splice {
        endpoint,
        stream: Some(stream),
        packets,
        sink,
        observer,
        started_at: now,
        handshake_deadline: Some(now + handshake_timeout),
        timer: Box::pin(sleep_until(now)),
        pending: Vec::new(),
        from_peer: DirectionState::Open,
        from_stream: DirectionState::Open,
        established: false,
        finished: false,
    };
    let end = poll_fn(|context| splice.step(context)).await;
    splice.send_outgoing();
    if !splice.finished {
        splice.observer.on_finished();
    }
    end
}

impl<S, K, O> Splice<'_, S, K, O>
where
    S: AsyncRead + AsyncWrite + Unpin,
    K: PacketSink,
    O: FlowObserver,
{
    /// Repeats all operations until none makes progress. By then each operation that is pending has
    /// registered its waker.
    fn step(&mut self, context: &mut Context<'_>) -> Poll<SpliceEnd> {
        loop {
            let packets_closed = self.receive_packets(context);
            self.poll_endpoint();
            if let Some(end) = self.detect_end(packets_closed) {
                return Poll::Ready(end);
            }
            let progressed = match self.copy_bytes(context) {
                Ok(progressed) => progressed,
                Err(_) => {
                    self.endpoint.abort();
                    self.poll_endpoint();
                    return Poll::Ready(SpliceEnd::StreamFailed);
                }
            };
            if progressed {
                continue;
            }
            self.reset_timer();
            if self.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Passes queued packets to the endpoint. Returns whether the queue is closed.
    fn receive_packets(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            match self.packets.poll_recv(context) {
                Poll::Ready(Some(packet)) => self.endpoint.receive(packet),
                Poll::Ready(None) => return true,
                Poll::Pending => return false,
            }
        }
    }

    fn poll_endpoint(&mut self) {
        self.endpoint.poll(self.started_at.elapsed());
        self.send_outgoing();
        if !self.established && self.endpoint.is_established() {
            self.established = true;
            self.handshake_deadline = None;
            self.observer.on_established();
        }
    }

    fn send_outgoing(&mut self) {
        for packet in self.endpoint.take_outgoing() {
            self.sink.send(&packet);
        }
    }

    /// Returns how the flow ended, if it has.
    fn detect_end(&mut self, packets_closed: bool) -> Option<SpliceEnd> {
        if packets_closed && !self.established {
            // No data has been exchanged, and the peer may not exist, so no reset is sent.
            return Some(SpliceEnd::NeverOpened);
        }
        if packets_closed {
            self.endpoint.abort();
            self.poll_endpoint();
            return Some(SpliceEnd::Cancelled);
        }
        if self.handshake_deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Some(SpliceEnd::NeverOpened);
        }
        let both_closed =
            self.from_peer == DirectionState::Closed && self.from_stream == DirectionState::Closed;
        if both_closed && !self.finished {
            self.finished = true;
            // Closes the stream now: a back end's connection must not wait for late packets of the peer.
            self.stream = None;
            self.observer.on_finished();
        }
        if !self.endpoint.is_closed() || self.has_undelivered_data() {
            return None;
        }
        Some(match (both_closed, self.established) {
            (true, _) => SpliceEnd::Closed,
            (false, true) => SpliceEnd::PeerReset,
            (false, false) => SpliceEnd::NeverOpened,
        })
    }

    /// Whether both sides have closed the connection in an orderly way, but the stream has not yet
    /// received all of the peer's data and its end.
    fn has_undelivered_data(&self) -> bool {
        self.from_stream == DirectionState::Closed
            && self.from_peer == DirectionState::Open
            && self.endpoint.has_peer_finished()
    }

    /// Copies bytes in both directions. Returns whether any direction progressed.
    fn copy_bytes(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        if !self.established || self.stream.is_none() {
            return Ok(false);
        }
        let to_stream = self.copy_to_stream(context)?;
        let to_peer = self.copy_to_peer(context)?;
        Ok(to_stream || to_peer)
    }

    fn copy_to_stream(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        let Some(stream) = self.stream.as_mut() else {
            return Ok(false);
        };
        if self.from_peer == DirectionState::Closed {
            return Ok(false);
        }
        if self.pending.is_empty() {
            let mut chunk = [0; CHUNK_BYTES];
            match self.endpoint.read(&mut chunk) {
                ReadOutcome::Read(length) => self.pending.extend_from_slice(&chunk[..length]),
                ReadOutcome::Empty | ReadOutcome::Reset => return Ok(false),
                ReadOutcome::Finished => {
                    if Pin::new(stream).poll_shutdown(context)?.is_ready() {
                        self.from_peer = DirectionState::Closed;
                        return Ok(true);
                    }
                    return Ok(false);
                }
            }
        }
        match Pin::new(stream).poll_write(context, &self.pending)? {
            Poll::Ready(0) => Err(io::ErrorKind::WriteZero.into()),
            Poll::Ready(written) => {
                self.pending.drain(..written);
                self.observer.on_peer_data();
                self.release_pending();
                Ok(true)
            }
            Poll::Pending => Ok(false),
        }
    }

    /// Frees the buffer once it is empty, so that an idle flow holds no memory besides the endpoint's
    /// own buffers.
    fn release_pending(&mut self) {
        if self.pending.is_empty() {
            self.pending = Vec::new();
        }
    }

    fn copy_to_peer(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        let Some(stream) = self.stream.as_mut() else {
            return Ok(false);
        };
        let writable = self.endpoint.writable_bytes();
        if writable == 0 || self.from_stream == DirectionState::Closed {
            return Ok(false);
        }
        let mut chunk = [0; CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk[..writable.min(CHUNK_BYTES)]);
        match Pin::new(stream).poll_read(context, &mut buffer)? {
            Poll::Pending => Ok(false),
            Poll::Ready(()) if buffer.filled().is_empty() => {
                self.endpoint.close();
                self.from_stream = DirectionState::Closed;
                Ok(true)
            }
            Poll::Ready(()) => {
                self.endpoint.write(buffer.filled());
                self.observer.on_stream_data();
                Ok(true)
            }
        }
    }

    fn reset_timer(&mut self) {
        let now = Instant::now();
        let delay = self.endpoint.poll_delay(self.started_at.elapsed()).unwrap_or(MAXIMUM_SLEEP);
        let mut wake = now + delay.min(MAXIMUM_SLEEP);
        if let Some(deadline) = self.handshake_deadline {
            wake = wake.min(deadline);
        }
        self.timer.as_mut().reset(wake);
    }
}
