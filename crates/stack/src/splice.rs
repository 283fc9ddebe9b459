//! Carries bytes between a [`TcpEndpoint`] and an asynchronous byte stream.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::endpoint::{ReadOutcome, TcpEndpoint};

/// Bytes moved in one step; bounds the memory that a step needs on the stack.
const CHUNK: usize = 4_096;
/// Longest sleep between two polls of an endpoint with nothing due.
const LONGEST_SLEEP: Duration = Duration::from_secs(3_600);

/// Where an endpoint's packets go. Sending must not block; a packet that cannot
/// be sent is dropped, and TCP repeats it.
pub trait PacketSink: Send {
    /// Sends one packet.
    fn send(&mut self, packet: &[u8]);
}

/// Is told what happens on a flow.
pub trait FlowObserver: Send {
    /// The handshake with the peer is complete.
    fn established(&mut self) {}
    /// Bytes of the peer were handed to the stream.
    fn peer_sent(&mut self) {}
    /// Bytes of the stream were handed to the peer.
    fn stream_sent(&mut self) {}
    /// Both directions are done; only late packets may still come.
    fn finished(&mut self) {}
}

/// Observes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl FlowObserver for NoObserver {}

/// How a spliced flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpliceEnd {
    /// Both directions were closed in order.
    Closed,
    /// The peer reset the flow or fell silent for too long.
    PeerReset,
    /// The stream failed; the peer was sent a reset.
    StreamFailed,
    /// The owner dropped the packet queue; the peer was sent a reset.
    Cancelled,
    /// The handshake never completed.
    NeverOpened,
}

/// One direction's end, seen from the splice.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Open,
    Closed,
}

struct Splice<'a, S, K, O> {
    endpoint: TcpEndpoint,
    stream: Option<S>,
    packets: &'a mut mpsc::Receiver<Vec<u8>>,
    sink: K,
    observer: O,
    started: Instant,
    deadline: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    /// Bytes read from the peer that the stream has not taken yet.
    pending: Vec<u8>,
    from_peer: Direction,
    from_stream: Direction,
    established: bool,
    finished: bool,
}

/// Runs one flow until it ends. Packets of the peer come from `packets`.
/// `handshake_timeout` bounds the time until the handshake is complete.
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
        started: now,
        deadline: Some(now + handshake_timeout),
        timer: Box::pin(sleep_until(now)),
        pending: Vec::new(),
        from_peer: Direction::Open,
        from_stream: Direction::Open,
        established: false,
        finished: false,
    };
    let end = poll_fn(|context| splice.step(context)).await;
    splice.send_outgoing();
    if !splice.finished {
        splice.observer.finished();
    }
    end
}

impl<S, K, O> Splice<'_, S, K, O>
where
    S: AsyncRead + AsyncWrite + Unpin,
    K: PacketSink,
    O: FlowObserver,
{
    /// Repeats every move until none makes progress; each move that could not
    /// go on has registered its waker by then.
    fn step(&mut self, context: &mut Context<'_>) -> Poll<SpliceEnd> {
        loop {
            let packets_closed = self.take_packets(context);
            self.poll_endpoint();
            if let Some(end) = self.check_end(packets_closed) {
                return Poll::Ready(end);
            }
            let moved = match self.move_bytes(context) {
                Ok(moved) => moved,
                Err(_) => {
                    self.endpoint.abort();
                    self.poll_endpoint();
                    return Poll::Ready(SpliceEnd::StreamFailed);
                }
            };
            if moved {
                continue;
            }
            self.arm_timer();
            if self.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn take_packets(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            match self.packets.poll_recv(context) {
                Poll::Ready(Some(packet)) => self.endpoint.receive(packet),
                Poll::Ready(None) => return true,
                Poll::Pending => return false,
            }
        }
    }

    fn poll_endpoint(&mut self) {
        self.endpoint.poll(self.started.elapsed());
        self.send_outgoing();
        if !self.established && self.endpoint.established() {
            self.established = true;
            self.deadline = None;
            self.observer.established();
        }
    }

    fn send_outgoing(&mut self) {
        for packet in self.endpoint.take_outgoing() {
            self.sink.send(&packet);
        }
    }

    fn check_end(&mut self, packets_closed: bool) -> Option<SpliceEnd> {
        if packets_closed && !self.established {
            // Nothing has run, and the peer may not exist: no reset.
            return Some(SpliceEnd::NeverOpened);
        }
        if packets_closed {
            self.endpoint.abort();
            self.poll_endpoint();
            return Some(SpliceEnd::Cancelled);
        }
        if self.deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return Some(SpliceEnd::NeverOpened);
        }
        let both_closed =
            self.from_peer == Direction::Closed && self.from_stream == Direction::Closed;
        if both_closed && !self.finished {
            self.finished = true;
            // The back end's connection must not wait for the peer's late packets.
            self.stream = None;
            self.observer.finished();
        }
        if !self.endpoint.is_closed() || self.has_undelivered_end() {
            return None;
        }
        Some(match (both_closed, self.established) {
            (true, _) => SpliceEnd::Closed,
            (false, true) => SpliceEnd::PeerReset,
            (false, false) => SpliceEnd::NeverOpened,
        })
    }

    /// Whether the connection ended in order on both sides while the stream has
    /// not taken all that the peer sent.
    fn has_undelivered_end(&self) -> bool {
        self.from_stream == Direction::Closed
            && self.from_peer == Direction::Open
            && self.endpoint.peer_finished()
    }

    fn move_bytes(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        if !self.established || self.stream.is_none() {
            return Ok(false);
        }
        let to_stream = self.move_to_stream(context)?;
        let to_peer = self.move_to_peer(context)?;
        Ok(to_stream || to_peer)
    }

    fn move_to_stream(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        let Some(stream) = self.stream.as_mut() else {
            return Ok(false);
        };
        if self.from_peer == Direction::Closed {
            return Ok(false);
        }
        if self.pending.is_empty() {
            let mut chunk = [0; CHUNK];
            match self.endpoint.read(&mut chunk) {
                ReadOutcome::Read(length) => self.pending.extend_from_slice(&chunk[..length]),
                ReadOutcome::Empty | ReadOutcome::Reset => return Ok(false),
                ReadOutcome::Finished => {
                    if Pin::new(stream).poll_shutdown(context)?.is_ready() {
                        self.from_peer = Direction::Closed;
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
                self.observer.peer_sent();
                self.release_pending();
                Ok(true)
            }
            Poll::Pending => Ok(false),
        }
    }

    /// An idle flow keeps no buffer besides the endpoint's own.
    fn release_pending(&mut self) {
        if self.pending.is_empty() {
            self.pending = Vec::new();
        }
    }

    fn move_to_peer(&mut self, context: &mut Context<'_>) -> io::Result<bool> {
        let Some(stream) = self.stream.as_mut() else {
            return Ok(false);
        };
        let room = self.endpoint.send_room();
        if room == 0 || self.from_stream == Direction::Closed {
            return Ok(false);
        }
        let mut chunk = [0; CHUNK];
        let mut buffer = ReadBuf::new(&mut chunk[..room.min(CHUNK)]);
        match Pin::new(stream).poll_read(context, &mut buffer)? {
            Poll::Pending => Ok(false),
            Poll::Ready(()) if buffer.filled().is_empty() => {
                self.endpoint.close();
                self.from_stream = Direction::Closed;
                Ok(true)
            }
            Poll::Ready(()) => {
                self.endpoint.write(buffer.filled());
                self.observer.stream_sent();
                Ok(true)
            }
        }
    }

    fn arm_timer(&mut self) {
        let now = Instant::now();
        let delay = self.endpoint.next_poll(self.started.elapsed()).unwrap_or(LONGEST_SLEEP);
        let mut wake = now + delay.min(LONGEST_SLEEP);
        if let Some(deadline) = self.deadline {
            wake = wake.min(deadline);
        }
        self.timer.as_mut().reset(wake);
    }
}
