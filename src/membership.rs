//! Announcement of processes to each other over UDP.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::{Arc, Mutex},
};

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use crate::{
    clock::{Clock, Time},
    consts::{ANNOUNCE_INTERVAL, DATAGRAM_BYTES, MEMBER_TIMEOUT},
    kernel::{Kernel, KernelError},
    member::{Directory, MemberState, Record, Role},
    owner_id::{FleetKey, Purpose},
};

const MAC_BYTES: usize = 16;

/// An error of a control message.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The message is not signed with a fleet key.
    #[snafu(display("control message is not signed with a fleet key"))]
    Stranger,
    /// The message can't be read.
    #[snafu(display("damaged control message"))]
    Damaged,
}

/// A message on the control socket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender's own record.
    Announce(Record),
    /// Records that the sender knows.
    Records(Vec<Record>),
}

/// Signs and checks control messages (HMAC-SHA-256, truncated to 16 bytes).
#[derive(Clone, Debug)]
pub struct Signer {
    keys: Vec<[u8; 32]>,
}

impl Signer {
    /// Returns the signer of the fleet keys; the first one signs.
    pub fn new(keys: &[FleetKey]) -> Self {
        let keys = keys
            .iter()
            .map(|key| key.derive(Purpose::Control))
            .collect();
        Self { keys }
    }

    /// Encodes and signs a message.
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut bytes = rmp_serde::to_vec(message).expect("messages encode");
        let tag = mac(&self.keys[0], &bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Checks and decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if no fleet key signed it or if it can't be read.
    pub fn open<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, MessageError> {
        let Some(length) = bytes.len().checked_sub(MAC_BYTES) else {
            return Err(MessageError::Damaged);
        };
        let (body, tag) = bytes.split_at(length);
        let known = self.keys.iter().any(|key| verify(key, body, tag));
        if !known {
            return Err(MessageError::Stranger);
        }
        rmp_serde::from_slice(body).map_err(|_| MessageError::Damaged)
    }
}

fn mac(key: &[u8], body: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length fits");
    mac.update(body);
    let full = mac.finalize().into_bytes();
    full[..MAC_BYTES].try_into().expect("16 bytes")
}

fn verify(key: &[u8], body: &[u8], tag: &[u8]) -> bool {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length fits");
    mac.update(body);
    mac.verify_truncated_left(tag).is_ok()
}

/// The record of this process, under the name [`LocalRecord::NAME`].
#[derive(Debug)]
pub struct LocalRecord(Mutex<Record>);

impl LocalRecord {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "local_record";

    /// Returns the service for a record.
    pub fn new(record: Record) -> Self {
        Self(Mutex::new(record))
    }

    /// Returns a copy of the record.
    pub fn get(&self) -> Record {
        self.0.lock().expect("record lock").clone()
    }

    /// Changes the record and counts its version.
    pub fn update(&self, change: impl FnOnce(&mut Record)) {
        let mut record = self.0.lock().expect("record lock");
        change(&mut record);
        record.version += 1;
    }
}

/// Known records and when each was last heard.
#[derive(Debug, Default)]
struct Roster {
    records: BTreeMap<SocketAddrV4, (Record, Time)>,
}

impl Roster {
    /// Takes a record; returns whether the view changes.
    fn learn(&mut self, record: Record, now: Time) -> bool {
        let address = record.address;
        let Some((known, heard)) = self.records.get_mut(&address) else {
            self.records.insert(address, (record, now));
            return true;
        };
        *heard = now;
        if !record.supersedes(known) {
            return false;
        }
        *known = record;
        true
    }

    /// Marks silent members dead; returns whether the view changes.
    fn expire(&mut self, own: SocketAddrV4, now: Time) -> bool {
        let mut changed = false;
        for (address, (record, heard)) in &mut self.records {
            let silent = now.since(*heard) > MEMBER_TIMEOUT;
            if *address == own || !silent || record.state == MemberState::Dead {
                continue;
            }
            record.state = MemberState::Dead;
            changed = true;
        }
        changed
    }

    /// Returns the control addresses of live balancers, which may be newer than the seeds.
    fn balancers(&self) -> impl Iterator<Item = SocketAddrV4> {
        let live = |record: &&Record| {
            record.role == Role::Balancer
                && !matches!(record.state, MemberState::Dead | MemberState::Left)
        };
        self.records
            .values()
            .map(|(record, _)| record)
            .filter(live)
            .map(|record| record.control)
    }

    fn members(&self) -> BTreeMap<SocketAddrV4, Record> {
        self.records
            .iter()
            .map(|(a, (r, _))| (*a, r.clone()))
            .collect()
    }
}

/// Starts the membership of a process.
///
/// # Errors
///
/// Fails if the directory or the local record is not published.
pub fn start(
    kernel: &Kernel,
    socket: UdpSocket,
    signer: Signer,
    seeds: Vec<SocketAddrV4>,
) -> Result<(), KernelError> {
    let service = Service {
        clock: kernel.clock(),
        directory: kernel.find(Directory::NAME)?,
        local: kernel.find(LocalRecord::NAME)?,
        roster: Roster::default(),
        seeds,
        signer,
        socket,
    };
    kernel.spawn(service.run());
    Ok(())
}

struct Service {
    clock: Clock,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    roster: Roster,
    seeds: Vec<SocketAddrV4>,
    signer: Signer,
    socket: UdpSocket,
}

impl Service {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; 64 * DATAGRAM_BYTES / 2];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, _)) = received else { continue };
                    self.receive(&buffer[..length]).await;
                }
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let own = self.local.get();
        let learned = self.roster.learn(own.clone(), now);
        let expired = self.roster.expire(own.address, now);
        if learned || expired {
            self.directory.publish(self.roster.members());
        }
        let message = self.signer.seal(&Message::Announce(own));
        let mut targets: BTreeSet<SocketAddrV4> = self.seeds.iter().copied().collect();
        targets.extend(self.roster.balancers());
        for target in targets {
            let _ = self.socket.send_to(&message, target).await;
        }
    }

    async fn receive(&mut self, bytes: &[u8]) {
        let message = match self.signer.open(bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::warn!(event = "control_message_rejected", %error);
                return;
            }
        };
        let now = self.clock.now();
        let mut changed = false;
        match message {
            Message::Announce(record) => {
                let reply = self.fresh_records(now);
                let target = record.control;
                changed |= self.roster.learn(record, now);
                let reply = self.signer.seal(&Message::Records(reply));
                let _ = self.socket.send_to(&reply, target).await;
            }
            Message::Records(records) => {
                for record in records {
                    changed |= self.roster.learn(record, now);
                }
            }
        }
        if changed {
            self.directory.publish(self.roster.members());
        }
    }

    /// Returns the records heard since the last tick but one.
    fn fresh_records(&self, now: Time) -> Vec<Record> {
        let mut fresh = Vec::new();
        for (record, heard) in self.roster.records.values() {
            if now.since(*heard) > 2 * ANNOUNCE_INTERVAL {
                continue;
            }
            fresh.push(record.clone());
        }
        fresh
    }
}
