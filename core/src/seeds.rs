//! The short list of seeds in the store: some processes keep their control addresses under leases.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::store::{LeaseId, Store, StoreError, Transaction, Write};

const LEASE_SECONDS: u64 = 10;
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const FIND_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the seeds under a prefix of the store; none if it does not answer at once.
pub async fn find_seeds(store: &dyn Store, prefix: &str) -> Vec<SocketAddrV4> {
    let Ok(Ok(snapshot)) = timeout(FIND_TIMEOUT, store.range(prefix, 0)).await else {
        tracing::warn!(event = "seeds_not_found", prefix);
        return Vec::new();
    };
    let mut seeds = Vec::with_capacity(snapshot.items.len());
    for item in &snapshot.items {
        let address = item.key.strip_prefix(prefix);
        seeds.extend(address.and_then(|address| address.parse::<SocketAddrV4>().ok()));
    }
    seeds
}

/// Keeps a seed's key until it is cancelled; a lease that lapsed unseen is replaced.
pub async fn keep_seed(store: Arc<dyn Store>, key: String, control: SocketAddrV4) {
    let mut lease = None;
    loop {
        match hold(store.as_ref(), &key, lease).await {
            Ok(held) => lease = Some(held),
            Err(error) => tracing::debug!(event = "seed_not_kept", %control, %error),
        }
        sleep(RENEW_INTERVAL).await;
    }
}

async fn hold(store: &dyn Store, key: &str, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = lease
        && store.keep_alive(lease).await?
    {
        return Ok(lease);
    }
    let lease = store.grant(LEASE_SECONDS).await?;
    let transaction = Transaction {
        compares: Vec::new(),
        writes: vec![Write {
            key: key.to_owned(),
            value: Vec::new(),
            lease: Some(lease),
        }],
    };
    store.commit(&transaction).await?;
    Ok(lease)
}
