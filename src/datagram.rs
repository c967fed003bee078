//! Batched UDP I/O: several datagrams per system call, where the operating system supports it.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
};

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use tokio::{io::Interest, net::UdpSocket};

use crate::consts::MAX_DATAGRAM_BYTES;

/// Limit of the payload of one system call.
const MAX_SEND_BYTES: usize = 60_000;

/// Batches for which an outbox initially has room.
const INITIAL_BATCHES: usize = 16;

/// A UDP socket that receives and sends in batches.
#[derive(Debug)]
pub struct BatchSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    /// Wraps a socket for batched I/O.
    ///
    /// # Errors
    ///
    /// Fails if the socket's options can't be set.
    pub fn new(socket: UdpSocket) -> io::Result<Self> {
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Self { socket, state })
    }

    /// Returns an empty receive batch with buffers for this socket.
    pub fn batch(&self) -> Batch {
        let length = MAX_DATAGRAM_BYTES * self.state.gro_segments();
        Batch {
            buffers: vec![vec![0; length]; BATCH_SIZE],
            received: 0,
            metas: [RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Returns an empty outbox with the segment limit of this socket.
    pub fn outbox(&self) -> Outbox {
        Outbox {
            max_segments: self.state.max_gso_segments(),
            pending: Vec::with_capacity(INITIAL_BATCHES),
            free_buffers: Vec::with_capacity(INITIAL_BATCHES),
        }
    }

    /// Waits for datagrams and receives as many as one system call returns.
    ///
    /// # Errors
    ///
    /// Fails with the error of the system call. An ICMP error caused by a peer's closed port is
    /// reported here too.
    pub async fn receive(&self, batch: &mut Batch) -> io::Result<()> {
        batch.received = 0;
        let read = || {
            let mut slices = batch.buffers.iter_mut().map(|b| IoSliceMut::new(b));
            let mut slices: [IoSliceMut<'_>; BATCH_SIZE] =
                std::array::from_fn(|_| slices.next().expect("one buffer per slice"));
            self.state
                .recv(self.socket_ref(), &mut slices, &mut batch.metas)
        };
        batch.received = self.socket.async_io(Interest::READABLE, read).await?;
        Ok(())
    }

    /// Sends and removes all pending datagrams of an outbox; those that can't be sent are dropped.
    pub async fn flush(&self, outbox: &mut Outbox) {
        for batch in outbox.pending.drain(..) {
            self.send(&batch).await;
            outbox.free_buffers.push(batch.contents);
        }
    }

    async fn send(&self, batch: &SendBatch) {
        let transmit = Transmit {
            destination: batch.destination,
            ecn: None,
            contents: &batch.contents,
            segment_size: (batch.count > 1).then_some(batch.segment_bytes),
            src_ip: None,
        };
        let write = || self.state.send(self.socket_ref(), &transmit);
        // Errors are ignored: an unsent datagram counts as lost, as on any network.
        let _ = self.socket.async_io(Interest::WRITABLE, write).await;
    }

    fn socket_ref(&self) -> UdpSockRef<'_> {
        (&self.socket).into()
    }
}

/// Receive buffers with the datagrams of the last [`BatchSocket::receive`].
#[derive(Debug)]
pub struct Batch {
    buffers: Vec<Vec<u8>>,
    received: usize,
    metas: [RecvMeta; BATCH_SIZE],
}

impl Batch {
    /// Returns the datagrams in order of arrival.
    pub fn datagrams(&self) -> impl Iterator<Item = &[u8]> {
        let filled = self.buffers.iter().zip(&self.metas).take(self.received);
        filled.flat_map(|(buffer, meta)| buffer[..meta.len].chunks(meta.stride.max(1)))
    }
}

/// Datagrams to one destination that one system call sends as equal segments (GSO).
#[derive(Debug)]
struct SendBatch {
    contents: Vec<u8>,
    count: usize,
    destination: SocketAddr,
    segment_bytes: usize,
}

/// Datagrams to send, batched by destination. The order per destination is preserved.
#[derive(Debug)]
pub struct Outbox {
    max_segments: usize,
    pending: Vec<SendBatch>,
    free_buffers: Vec<Vec<u8>>,
}

impl Outbox {
    /// Queues a datagram until the next [`BatchSocket::flush`].
    pub fn push(&mut self, destination: SocketAddr, datagram: &[u8]) {
        let max_segments = self.max_segments;
        let last = self
            .pending
            .iter_mut()
            .rev()
            .find(|b| b.destination == destination);
        if let Some(batch) = last.filter(|b| b.accepts(datagram.len(), max_segments)) {
            batch.contents.extend_from_slice(datagram);
            batch.count += 1;
            return;
        }
        let mut contents = self.free_buffers.pop().unwrap_or_default();
        contents.clear();
        contents.extend_from_slice(datagram);
        self.pending.push(SendBatch {
            contents,
            count: 1,
            destination,
            segment_bytes: datagram.len(),
        });
    }
}

impl SendBatch {
    /// Returns whether a datagram of `length` bytes can be appended; only the last segment may be
    /// shorter than the others.
    fn accepts(&self, length: usize, max_segments: usize) -> bool {
        let all_full = self.contents.len() == self.count * self.segment_bytes;
        let fits = self.contents.len() + length <= MAX_SEND_BYTES;
        all_full && fits && length <= self.segment_bytes && self.count < max_segments
    }
}
