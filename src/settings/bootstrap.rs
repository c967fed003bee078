//! Obtains the settings that a process starts with, from its peers or else from the store.

use std::{net::SocketAddrV4, time::Duration};

use futures::future::select_ok;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use super::{
    layout::Layout,
    part::{Part, Parts},
    sync::{Page, Pull},
};
use crate::{
    control::ControlClient,
    store::{Consistency, Position, Store},
};

/// Control path on which a process serves its parts to peers.
pub const PULL_PATH: &str = "/settings/pull";

/// A pull with the name of the sender's region.
pub type RegionPull = (String, Pull);

const MAX_SEEDS: usize = 3;
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the parts of the first seed that sends any and whose parts can all be decoded, else those
/// of the store, else none.
///
/// Asks up to three random seeds at once. The seeds have 1 s to respond, and so has the store.
pub async fn initial_parts(
    client: &ControlClient,
    seeds: &[SocketAddrV4],
    store: Option<&dyn Store>,
    region: &str,
) -> Parts {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    seeds.truncate(MAX_SEEDS);
    let pulls = seeds
        .into_iter()
        .map(|seed| Box::pin(pull_all(client, seed, region)));
    let pulls: Vec<_> = pulls.collect();
    if !pulls.is_empty()
        && let Ok(Ok((parts, _))) = timeout(BOOTSTRAP_TIMEOUT, select_ok(pulls)).await
    {
        return parts;
    }
    let Some(store) = store else {
        return Parts::new();
    };
    let layout = Layout::new(region);
    let prefix = layout.tree_prefix();
    let read = store.range(&prefix, Position::START, Consistency::Linearizable);
    let Ok(Ok(snapshot)) = timeout(BOOTSTRAP_TIMEOUT, read).await else {
        return Parts::new();
    };
    layout.decode(&snapshot).parts
}

/// Pulls all parts of a peer; fails if it has none, does not respond or sends a part that can't be
/// decoded.
async fn pull_all(client: &ControlClient, peer: SocketAddrV4, region: &str) -> Result<Parts, ()> {
    let mut parts = Parts::new();
    let mut pull = Pull::default();
    loop {
        let message: RegionPull = (region.to_owned(), pull.clone());
        let page = client
            .post(peer, PULL_PATH, &message, BOOTSTRAP_TIMEOUT)
            .await;
        let page: Page = page.map_err(|_| ())?;
        for (name, value) in &page.parts {
            let part_name = name.parse().map_err(|_| ())?;
            let part = Part::decode(&part_name, value).map_err(|_| ())?;
            pull = Pull {
                revision: part.revision,
                name: name.clone(),
            };
            parts.insert(part_name, part);
        }
        if page.has_more && !page.parts.is_empty() {
            continue;
        }
        return if parts.is_empty() { Err(()) } else { Ok(parts) };
    }
}
