//! A client with which operators read and edit the settings in the store.

use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use futures::future::join_all;

use super::{
    bootstrap::{PULL_PATH, RegionPull},
    change::{self, Change},
    edit::{Action, Edit, Event, Outcome},
    layout::{Histories, Layout, Proposal, StoredTree},
    part::{Part, PartName},
    sync::{Page, Pull},
};
use crate::{
    clock::Clock,
    clock::unix_ms,
    control::ControlClient,
    store::{CommitOutcome, Consistency, Position, Snapshot, Store, StoreError},
};

/// Time after which an edit is no longer retried.
pub const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads and edits the tree of one region.
#[derive(Clone, Copy, Debug)]
pub struct SettingsClient<'a> {
    /// Store that holds the settings.
    pub store: &'a dyn Store,
    /// Name of the region.
    pub region: &'a str,
    /// Author that edits are recorded under.
    pub author: &'a str,
    /// Processes that are asked whether they have newer settings; `None` skips that check.
    pub fleet: Option<FleetPeers<'a>>,
}

/// Processes of the fleet and the client to reach them.
#[derive(Clone, Copy, Debug)]
pub struct FleetPeers<'a> {
    /// Client that signs with a fleet key.
    pub client: &'a ControlClient,
    /// Control addresses of the processes.
    pub peers: &'a [SocketAddrV4],
}

impl FleetPeers<'_> {
    /// Returns whether a peer has active settings that are newer than a revision.
    ///
    /// A peer that does not respond counts as one that has none.
    async fn has_newer(&self, region: &str, revision: u64) -> bool {
        let pull = Pull {
            revision,
            name: String::new(),
        };
        let message: RegionPull = (region.to_owned(), pull);
        let pulls = self.peers.iter().map(|peer| {
            self.client
                .post::<_, Page>(*peer, PULL_PATH, &message, PEER_TIMEOUT)
        });
        let pages = join_all(pulls).await;
        pages
            .into_iter()
            .flatten()
            .any(|page| page.revision > revision)
    }
}

impl SettingsClient<'_> {
    /// Reads the tree in the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or refuses the call.
    pub async fn read(&self) -> Result<StoredTree, StoreError> {
        let layout = Layout::new(self.region);
        let snapshot = read_all(self.store, &layout.tree_prefix()).await?;
        Ok(layout.decode(&snapshot))
    }

    /// Returns the last values of a part, newest first; empty if there is no history or it can't be
    /// decoded.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or refuses the call.
    pub async fn history(&self, name: &PartName) -> Result<VecDeque<Part>, StoreError> {
        let key = Layout::new(self.region).history_key(name);
        let snapshot = read_all(self.store, &key).await?;
        let item = snapshot.items.iter().find(|item| item.key == key);
        let history = item.and_then(|item| serde_json::from_slice(&item.value).ok());
        Ok(history.unwrap_or_default())
    }

    /// Applies a change and returns its id and outcome.
    ///
    /// With `if_revision`, the change is refused if a part that it affects is newer than that
    /// revision.
    pub async fn apply(&self, change: Change, if_revision: Option<u64>) -> (String, Outcome) {
        let clock = Clock::start();
        let id = format!("{:016x}", rand::random::<u64>());
        let author = self.author.to_owned();
        let deadline = clock.now() + EDIT_TIMEOUT;
        let edit = Edit::new(self.region, change, id.clone(), author, deadline);
        let mut edit = edit.with_if_revision(if_revision);
        let mut action = Action::Read;
        loop {
            let event = match action {
                Action::Read => match self.read().await {
                    Ok(stored) if self.is_behind(&stored).await => Event::Behind,
                    Ok(stored) => Event::Read(stored, unix_ms()),
                    Err(error) => Event::from(&error),
                },
                Action::Write(proposal) => match self.commit(&proposal).await {
                    Ok(committed) => Event::WriteEnded(committed),
                    Err(error) => Event::from(&error),
                },
                Action::Wait(time) => {
                    tokio::time::sleep_until(clock.instant(time)).await;
                    Event::Resumed
                }
                Action::Finish(outcome) => {
                    return (id, self.replace_differences(outcome, if_revision).await);
                }
            };
            action = edit.handle(event, clock.now());
        }
    }

    /// Replaces the differences of a refusal by those since `if_revision`, if the part's history
    /// reaches back to it.
    async fn replace_differences(&self, mut outcome: Outcome, if_revision: Option<u64>) -> Outcome {
        let (
            Outcome::Refused {
                part, differences, ..
            },
            Some(revision),
        ) = (&mut outcome, if_revision)
        else {
            return outcome;
        };
        let Ok(name) = part.parse() else {
            return outcome;
        };
        let history = self.history(&name).await.unwrap_or_default();
        let known = history.iter().find(|part| part.revision <= revision);
        if let (Some(known), Some(newest)) = (known, history.front()) {
            *differences = change::differences(Some(known), Some(newest));
        }
        outcome
    }

    async fn is_behind(&self, stored: &StoredTree) -> bool {
        let Some(fleet) = self.fleet else {
            return false;
        };
        fleet.has_newer(self.region, stored.head.revision).await
    }

    async fn commit(&self, proposal: &Proposal) -> Result<CommitOutcome, StoreError> {
        commit_proposal(self.store, &Layout::new(self.region), proposal).await
    }
}

async fn read_all(store: &dyn Store, prefix: &str) -> Result<Snapshot, StoreError> {
    let read = store.range(prefix, Position::START, Consistency::Linearizable);
    read.await
}

/// Commits a proposal together with the updated history of its parts.
///
/// # Errors
///
/// Fails if the store does not answer or refuses a call. The error does not tell whether the read
/// of a history or the commit failed.
pub async fn commit_proposal(
    store: &dyn Store,
    layout: &Layout,
    proposal: &Proposal,
) -> Result<CommitOutcome, StoreError> {
    let mut histories = Histories::new();
    for name in proposal.parts.keys() {
        let key = layout.history_key(name);
        let snapshot = read_all(store, &key).await?;
        let item = snapshot.items.iter().find(|item| item.key == key);
        let history = item.and_then(|item| serde_json::from_slice(&item.value).ok());
        histories.insert(name.clone(), history.unwrap_or_default());
    }
    store
        .commit(&layout.transaction(proposal, &histories))
        .await
}
