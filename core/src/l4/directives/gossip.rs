//! Spread of the directives among balancers and agents.
//!
//! A process that accepts a newer document pushes it to a few random members. Once a second, each
//! process compares its position with a random member, which repairs what was lost.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{Directives, StoredDirectives, history::History};
use crate::{
    clock::Time,
    consts::MAX_DATAGRAM_BYTES,
    l4::{
        message::{self, Message, Received},
        outbox::Outbox,
        spread::Spread,
    },
    member::View,
    store::Position,
};

/// Interval at which an agent without a document asks the balancers that place flows on it. After a loss of
/// power, all agents start without one and cold servers wait for their rate.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two queries of a process that has no document.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of an encoded document, which leaves room for the header of its frame.
const MAX_DOCUMENT_BYTES: usize = MAX_DATAGRAM_BYTES - 128;

/// State machine of one process.
#[derive(Debug)]
pub struct Gossip {
    history: History,
    spread: Spread,
    has_asked: bool,
    /// When a balancer that places a flow here may be asked for its document.
    ask_due: Time,
    /// The document, encoded.
    encoded: Vec<u8>,
    /// Reused for each frame, to avoid allocations.
    buffer: Vec<u8>,
}

impl Gossip {
    /// Returns the state of a process that has no document and knows no members.
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            history: History::default(),
            spread: Spread::new(address, None, QUERY_INTERVAL),
            has_asked: false,
            ask_due: Time::default(),
            encoded: Vec::new(),
            buffer: Vec::new(),
        }
    }

    /// Returns whether a document has arrived.
    pub fn has_document(&self) -> bool {
        self.position() != Position::START
    }

    /// Returns the newest document.
    pub fn document(&self) -> &Arc<Directives> {
        self.history.document()
    }

    /// Updates the members from a view of the membership.
    pub fn apply_view(&mut self, view: &View) {
        self.spread.apply_view(view);
    }

    /// Applies the contents of a linearizable read of the store. Returns the directives in effect if
    /// the document was replaced.
    pub fn apply_read(&mut self, read: &StoredDirectives, now: Time) -> Option<Arc<Directives>> {
        let mut read = read.clone();
        let dropped = limit_rates(&mut read);
        if !self.history.accept_read(&read, now) {
            return None;
        }
        if dropped > 0 {
            tracing::error!(event = "cold_rates_dropped", dropped, position = %read.position);
        }
        Some(self.publish(&"store", now))
    }

    /// Handles a message of a peer, and replies if one of the two documents is newer. Returns the
    /// directives in effect if the document was replaced.
    pub fn receive(
        &mut self,
        received: &Received<'_>,
        now: Time,
        out: &mut impl Outbox,
    ) -> Option<Arc<Directives>> {
        let Message::Directives { position } = received.message else {
            return None;
        };
        if received.datagram.is_empty() {
            match position.cmp(&self.position()) {
                std::cmp::Ordering::Less => self.send_document(received.from, out),
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Greater => self.send_position(received.from, out),
            }
            return None;
        }
        let offered: Directives = match rmp_serde::from_slice(received.datagram) {
            Ok(offered) => offered,
            Err(error) => {
                tracing::debug!(event = "directives_rejected", from = %received.from, %error);
                return None;
            }
        };
        if offered.position < self.position() {
            self.send_document(received.from, out);
        }
        let changed = self.history.accept(offered, now);
        changed.then(|| self.publish(&received.from, now))
    }

    /// Sends the messages that are due. Returns the directives in effect if they have changed because
    /// the era of the store has settled.
    pub fn tick(&mut self, now: Time, out: &mut impl Outbox) -> Option<Arc<Directives>> {
        let before = self.document().clone();
        let settled = self.history.settle(now);
        if !Arc::ptr_eq(&before, self.document()) {
            self.encode();
        }
        for member in self.spread.take_push(now) {
            self.send_document(member, out);
        }
        self.compare_if_due(now, out);
        settled.then(|| {
            self.log_applied(&"era_settled");
            self.history.effective().clone()
        })
    }

    /// Returns when [`Gossip::tick`] has to be called next, or `None` if nothing is due.
    pub fn due(&self) -> Option<Time> {
        let dues = [self.spread.due(), self.history.due()];
        dues.into_iter().flatten().min()
    }

    fn position(&self) -> Position {
        self.history.document().position
    }

    /// Starts to push the document, which was just replaced, and returns the directives in effect.
    fn publish(&mut self, source: &dyn std::fmt::Display, now: Time) -> Arc<Directives> {
        self.encode();
        self.spread.start_push(now);
        self.log_applied(source);
        self.history.effective().clone()
    }

    fn log_applied(&self, source: &dyn std::fmt::Display) {
        let effective = self.history.effective();
        let domains: Vec<&str> = effective.evacuated.keys().map(String::as_str).collect();
        tracing::info!(
            event = "directives_applied",
            position = %effective.position,
            evacuated = domains.join(","),
            cold_rates = effective.cold_rates.len(),
            %source,
        );
    }

    fn encode(&mut self) {
        self.encoded.clear();
        // Fields are named, so that builds with further fields can read each other's documents.
        let document = self.history.document().as_ref();
        rmp_serde::encode::write_named(&mut self.encoded, document)
            .expect("directives can be encoded as MessagePack");
        if self.encoded.len() > MAX_DOCUMENT_BYTES {
            let bytes = self.encoded.len();
            tracing::error!(event = "directives_too_large", bytes);
        }
    }

    fn compare_if_due(&mut self, now: Time, out: &mut impl Outbox) {
        let has_document = self.has_document();
        // The first query asks for the documents of the others even if they are older: after a restore
        // of the store, they may have evacuations that a process that just started has not seen.
        let asks_all = !self.has_asked;
        for member in self.spread.take_compare(has_document && !asks_all, now) {
            self.has_asked = true;
            match asks_all {
                true => {
                    let position = Position::START;
                    self.send(member, &Message::Directives { position }, false, out);
                }
                false => self.send_position(member, out),
            }
        }
    }

    /// Asks a process for its document while there is none here, at most every `ASK_INTERVAL`.
    pub fn ask(&mut self, peer: SocketAddrV4, now: Time, out: &mut impl Outbox) {
        if self.has_document() || now < self.ask_due {
            return;
        }
        self.ask_due = now + ASK_INTERVAL;
        self.send_position(peer, out);
    }

    fn send_position(&mut self, to: SocketAddrV4, out: &mut impl Outbox) {
        let position = self.position();
        self.send(to, &Message::Directives { position }, false, out);
    }

    fn send_document(&mut self, to: SocketAddrV4, out: &mut impl Outbox) {
        if self.encoded.len() > MAX_DOCUMENT_BYTES {
            return;
        }
        let position = self.position();
        self.send(to, &Message::Directives { position }, true, out);
    }

    fn send(
        &mut self,
        to: SocketAddrV4,
        message: &Message,
        with_document: bool,
        out: &mut impl Outbox,
    ) {
        let datagram = match with_document {
            true => self.encoded.as_slice(),
            false => &[],
        };
        message::encode(message, datagram, &mut self.buffer);
        out.to_peer(to, &self.buffer);
    }
}

/// Drops the cold rates with the highest keys that a document can't hold, and returns their number.
/// All readers drop the same ones, so that documents with one position stay equal.
fn limit_rates(read: &mut StoredDirectives) -> usize {
    let Some(cold_rates) = read.cold_rates.take() else {
        return 0;
    };
    let mut document = Directives {
        position: read.position,
        evacuated: read.evacuated.clone(),
        cold_rates,
    };
    let count = document.cold_rates.len();
    let fits = |document: &Directives| {
        let encoded = rmp_serde::to_vec_named(document);
        encoded.is_ok_and(|encoded| encoded.len() <= MAX_DOCUMENT_BYTES)
    };
    while !fits(&document) && document.cold_rates.pop_last().is_some() {}
    let dropped = count - document.cold_rates.len();
    read.cold_rates = Some(document.cold_rates);
    dropped
}
