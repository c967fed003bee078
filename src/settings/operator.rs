//! Carries an operator's edit out against the store.

use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use futures::future::join_all;

use super::{
    change::{self, Change},
    edit::{Action, Edit, Event, Outcome},
    first::{PULL_PATH, RegionPull},
    layout::{Histories, Layout, Proposal, Stored},
    part::{Part, PartName},
    spread::{Page, Pull},
};
use crate::{
    clock::Clock,
    clock::unix_ms,
    control::ControlClient,
    store::{CommitOutcome, Store, StoreError},
};

/// Time in which an edit must come to an answer.
pub const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads and edits the tree of one region.
#[derive(Clone, Copy, Debug)]
pub struct Operator<'a> {
    /// The store.
    pub store: &'a dyn Store,
    /// Name of the region.
    pub region: &'a str,
    /// Who edits.
    pub author: &'a str,
    /// Processes of the fleet that are asked for newer settings; none if the fleet is not running.
    pub fleet: Option<FleetPeers<'a>>,
}

/// How an operator reaches the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPeers<'a> {
    /// Signs with a fleet key.
    pub client: &'a ControlClient,
    /// Control addresses.
    pub peers: &'a [SocketAddrV4],
}

impl FleetPeers<'_> {
    /// Returns whether a peer has settings in force that are newer than a revision.
    ///
    /// A peer that does not answer counts as one that has none.
    async fn any_newer(&self, region: &str, revision: u64) -> bool {
        let pull = Pull {
            revision,
            name: String::new(),
        };
        let message: RegionPull = (region.to_owned(), pull);
        let asked = self.peers.iter().map(|peer| {
            self.client
                .post::<_, Page>(*peer, PULL_PATH, &message, PEER_TIMEOUT)
        });
        let pages = join_all(asked).await;
        pages
            .into_iter()
            .flatten()
            .any(|page| page.revision > revision)
    }
}

impl Operator<'_> {
    /// Returns the tree in the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn read(&self) -> Result<Stored, StoreError> {
        let layout = Layout::new(self.region);
        let snapshot = self.store.range(&layout.tree(), 0).await?;
        Ok(layout.read(&snapshot))
    }

    /// Returns the last values of a part, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn history(&self, name: &PartName) -> Result<VecDeque<Part>, StoreError> {
        let key = Layout::new(self.region).history(name);
        let snapshot = self.store.range(&key, 0).await?;
        let item = snapshot.items.iter().find(|item| item.key == key);
        let history = item.and_then(|item| serde_json::from_slice(&item.value).ok());
        Ok(history.unwrap_or_default())
    }

    /// Carries out a change and returns its id and how it ended.
    ///
    /// With `seen`, the change is refused if a part is newer than that revision.
    pub async fn change(&self, change: Change, seen: Option<u64>) -> (String, Outcome) {
        let clock = Clock::start();
        let id = format!("{:016x}", rand::random::<u64>());
        let author = self.author.to_owned();
        let deadline = clock.now() + EDIT_TIMEOUT;
        let edit = Edit::new(self.region, change, id.clone(), author, deadline);
        let mut edit = edit.only_if_seen(seen);
        let mut action = Action::Read;
        loop {
            let event = match action {
                Action::Read => match self.read().await {
                    Ok(stored) if self.is_behind(&stored).await => Event::Behind,
                    Ok(stored) => Event::Read(stored, unix_ms()),
                    Err(error) => Event::from(&error),
                },
                Action::Write(proposal) => match self.write(&proposal).await {
                    Ok(committed) => Event::Written(committed),
                    Err(error) => Event::from(&error),
                },
                Action::Wait(time) => {
                    tokio::time::sleep_until(clock.instant(time)).await;
                    Event::Resumed
                }
                Action::Finish(outcome) => return (id, self.since_seen(outcome, seen).await),
            };
            action = edit.handle(event, clock.now());
        }
    }

    /// Narrows a refusal down to what changed since the revision that the operator saw.
    async fn since_seen(&self, mut outcome: Outcome, seen: Option<u64>) -> Outcome {
        let (
            Outcome::Refused {
                part, differences, ..
            },
            Some(seen),
        ) = (&mut outcome, seen)
        else {
            return outcome;
        };
        let Ok(name) = part.parse() else {
            return outcome;
        };
        let history = self.history(&name).await.unwrap_or_default();
        let known = history.iter().find(|part| part.revision <= seen);
        if let (Some(known), Some(newest)) = (known, history.front()) {
            *differences = change::differences(Some(known), Some(newest));
        }
        outcome
    }

    async fn is_behind(&self, stored: &Stored) -> bool {
        let Some(fleet) = self.fleet else {
            return false;
        };
        fleet.any_newer(self.region, stored.head.revision).await
    }

    async fn write(&self, proposal: &Proposal) -> Result<CommitOutcome, StoreError> {
        write(self.store, &Layout::new(self.region), proposal).await
    }
}

/// Writes a proposal with the history of its parts.
///
/// # Errors
///
/// Fails if the store does not answer; a failed read counts as not written.
pub async fn write(
    store: &dyn Store,
    layout: &Layout,
    proposal: &Proposal,
) -> Result<CommitOutcome, StoreError> {
    let mut histories = Histories::new();
    for name in proposal.parts.keys() {
        let key = layout.history(name);
        let snapshot = store.range(&key, 0).await?;
        let item = snapshot.items.iter().find(|item| item.key == key);
        let history = item.and_then(|item| serde_json::from_slice(&item.value).ok());
        histories.insert(name.clone(), history.unwrap_or_default());
    }
    store.commit(&layout.write(proposal, &histories)).await
}
