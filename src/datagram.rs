//! UDP in batches: several datagrams for each system call, where the platform can.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
};

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use tokio::{io::Interest, net::UdpSocket};

use crate::consts::MAX_DATAGRAM_BYTES;

/// Largest buffer for one system call, in bytes.
const SEND_BYTES: usize = 60_000;

/// Destinations that are batched side by side.
const OUTBOXES: usize = 16;

/// A UDP socket that receives and sends in batches.
#[derive(Debug)]
pub struct BatchSocket {
    socket: UdpSocket,
    state: UdpSocketState,
}

impl BatchSocket {
    /// Returns the batching side of a socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket's options can't be set.
    pub fn new(socket: UdpSocket) -> io::Result<Self> {
        let state = UdpSocketState::new((&socket).into())?;
        Ok(Self { socket, state })
    }

    /// Returns an empty batch that fits this socket.
    pub fn batch(&self) -> Batch {
        let length = MAX_DATAGRAM_BYTES * self.state.gro_segments();
        Batch {
            buffers: vec![vec![0; length]; BATCH_SIZE],
            filled: 0,
            metas: [RecvMeta::default(); BATCH_SIZE],
        }
    }

    /// Returns an empty outbox that fits this socket.
    pub fn outbox(&self) -> Outbox {
        Outbox {
            max_segments: self.state.max_gso_segments(),
            pending: Vec::with_capacity(OUTBOXES),
            spare: Vec::with_capacity(OUTBOXES),
        }
    }

    /// Waits for datagrams and receives as many as one system call brings.
    ///
    /// # Errors
    ///
    /// Fails with the system's error; a peer's closed port shows here too.
    pub async fn receive(&self, batch: &mut Batch) -> io::Result<()> {
        batch.filled = 0;
        let read = || {
            let mut slices = batch.buffers.iter_mut().map(|b| IoSliceMut::new(b));
            let mut slices: [IoSliceMut<'_>; BATCH_SIZE] =
                std::array::from_fn(|_| slices.next().expect("one buffer a slot"));
            self.state
                .recv(self.reference(), &mut slices, &mut batch.metas)
        };
        batch.filled = self.socket.async_io(Interest::READABLE, read).await?;
        Ok(())
    }

    /// Sends all pending datagrams of an outbox.
    pub async fn flush(&self, outbox: &mut Outbox) {
        for parcel in outbox.pending.drain(..) {
            self.send(&parcel).await;
            outbox.spare.push(parcel.contents);
        }
    }

    async fn send(&self, parcel: &Parcel) {
        let transmit = Transmit {
            destination: parcel.destination,
            ecn: None,
            contents: &parcel.contents,
            segment_size: (parcel.count > 1).then_some(parcel.segment),
            src_ip: None,
        };
        let write = || self.state.send(self.reference(), &transmit);
        // A datagram that can't be sent counts as lost, as on any network.
        let _ = self.socket.async_io(Interest::WRITABLE, write).await;
    }

    fn reference(&self) -> UdpSockRef<'_> {
        (&self.socket).into()
    }
}

/// Received datagrams.
#[derive(Debug)]
pub struct Batch {
    buffers: Vec<Vec<u8>>,
    filled: usize,
    metas: [RecvMeta; BATCH_SIZE],
}

impl Batch {
    /// Returns the datagrams in the order of their arrival.
    pub fn datagrams(&self) -> impl Iterator<Item = &[u8]> {
        let received = self.buffers.iter().zip(&self.metas).take(self.filled);
        received.flat_map(|(buffer, meta)| buffer[..meta.len].chunks(meta.stride.max(1)))
    }
}

/// Datagrams of one size to one destination, for one system call.
#[derive(Debug)]
struct Parcel {
    contents: Vec<u8>,
    count: usize,
    destination: SocketAddr,
    segment: usize,
}

/// Datagrams to send, batched by destination; the order for each destination is kept.
#[derive(Debug)]
pub struct Outbox {
    max_segments: usize,
    pending: Vec<Parcel>,
    spare: Vec<Vec<u8>>,
}

impl Outbox {
    /// Adds a datagram.
    pub fn push(&mut self, destination: SocketAddr, datagram: &[u8]) {
        let max_segments = self.max_segments;
        let last = self
            .pending
            .iter_mut()
            .rev()
            .find(|p| p.destination == destination);
        if let Some(parcel) = last.filter(|p| p.takes(datagram.len(), max_segments)) {
            parcel.contents.extend_from_slice(datagram);
            parcel.count += 1;
            return;
        }
        let mut contents = self.spare.pop().unwrap_or_default();
        contents.clear();
        contents.extend_from_slice(datagram);
        self.pending.push(Parcel {
            contents,
            count: 1,
            destination,
            segment: datagram.len(),
        });
    }
}

impl Parcel {
    /// Returns whether a datagram may follow; only the last one may be shorter.
    fn takes(&self, length: usize, max_segments: usize) -> bool {
        let whole = self.contents.len() == self.count * self.segment;
        let fits = self.contents.len() + length <= SEND_BYTES;
        whole && fits && length <= self.segment && self.count < max_segments
    }
}
