//! The settings that a process starts with: from its peers, else from the store.

use std::{net::SocketAddrV4, time::Duration};

use futures::future::select_ok;
use rand::seq::SliceRandom;
use tokio::time::timeout;

use super::{
    layout::Layout,
    part::{Part, Parts},
    spread::{Page, Pull},
};
use crate::{control::ControlClient, store::Store};

/// Path on which a process answers peers that lack parts.
pub const PULL_PATH: &str = "/settings/pull";

/// A pull with the region that the sender belongs to.
pub type RegionPull = (String, Pull);

const SEEDS_ASKED: usize = 3;
const FIRST_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the parts of the first peer that answers, else of the store, else none.
pub async fn first_parts(
    client: &ControlClient,
    seeds: &[SocketAddrV4],
    store: Option<&dyn Store>,
    region: &str,
) -> Parts {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    seeds.truncate(SEEDS_ASKED);
    let asked = seeds
        .into_iter()
        .map(|seed| Box::pin(all_pages(client, seed, region)));
    let asked: Vec<_> = asked.collect();
    if !asked.is_empty()
        && let Ok(Ok((parts, _))) = timeout(FIRST_TIMEOUT, select_ok(asked)).await
    {
        return parts;
    }
    let Some(store) = store else {
        return Parts::new();
    };
    let layout = Layout::new(region);
    let read = timeout(FIRST_TIMEOUT, store.range(&layout.tree(), 0)).await;
    let Ok(Ok(snapshot)) = read else {
        return Parts::new();
    };
    layout.read(&snapshot).parts
}

/// Pulls all parts of a peer; fails if it has none or does not answer.
async fn all_pages(client: &ControlClient, peer: SocketAddrV4, region: &str) -> Result<Parts, ()> {
    let mut parts = Parts::new();
    let mut pull = Pull::default();
    loop {
        let message: RegionPull = (region.to_owned(), pull.clone());
        let page = client.post(peer, PULL_PATH, &message, FIRST_TIMEOUT).await;
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
        if page.more && !page.parts.is_empty() {
            continue;
        }
        return if parts.is_empty() { Err(()) } else { Ok(parts) };
    }
}
