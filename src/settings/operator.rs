//! Carries an operator's edit out against the store.

use std::{
    collections::VecDeque,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{
    change::Change,
    edit::{Action, Edit, Event, Outcome},
    layout::{Histories, Layout, Proposal, Stored},
    part::{Part, PartName},
};
use crate::{
    clock::Clock,
    store::{Committed, Store, StoreError},
};

/// Time in which an edit must come to an answer.
pub const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads and edits the tree of one region.
#[derive(Clone, Copy, Debug)]
pub struct Operator<'a> {
    /// The store.
    pub store: &'a dyn Store,
    /// Name of the region.
    pub region: &'a str,
    /// Who edits.
    pub author: &'a str,
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
                    Ok(stored) => Event::Read(stored, wall_ms()),
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
                Action::Finish(outcome) => return (id, outcome),
            };
            action = edit.handle(event, clock.now());
        }
    }

    async fn write(&self, proposal: &Proposal) -> Result<Committed, StoreError> {
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
) -> Result<Committed, StoreError> {
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

fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
