//! Discovery of seeds through the store, in which layer-4 balancers and settings relays register their
//! control addresses under leases.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use rand::Rng;

use tokio::time::{sleep, timeout};

use crate::store::{Consistency, LeaseId, Position, Store, StoreError, Transaction, Write};

const LEASE_TTL_SECONDS: u64 = 10;
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time over which the seeds spread their registrations after the store was restored.
const RESTORE_SPREAD: Duration = Duration::from_millis(500);

/// Returns the control addresses of the seeds registered under a prefix of the store.
///
/// Returns an empty list if the store fails or does not respond within 1 s, and skips keys whose rest is
/// not an address.
pub async fn find_seeds(store: &dyn Store, prefix: &str) -> Vec<SocketAddrV4> {
    // Seeds are only hints: one that has stopped is skipped, and an old list has others.
    let read = store.range(prefix, Position::START, Consistency::Stale);
    let Ok(Ok(snapshot)) = timeout(LOOKUP_TIMEOUT, read).await else {
        tracing::warn!(event = "seed_lookup_failed", prefix);
        return Vec::new();
    };
    let mut seeds = Vec::with_capacity(snapshot.items.len());
    for item in &snapshot.items {
        let address = item.key.strip_prefix(prefix);
        match address.and_then(|address| address.parse::<SocketAddrV4>().ok()) {
            Some(address) => seeds.push(address),
            None => tracing::warn!(event = "seed_skipped", key = item.key),
        }
    }
    seeds
}

/// Registers a seed in the store and renews its lease every 3 s until the future is dropped.
///
/// `key` is the prefix of the seeds followed by the control address; `control` only appears in the log.
/// Grants a new lease and writes the key again if the lease has expired, and within 0.5 s if the store
/// was restored from an older copy.
pub async fn maintain_seed(store: Arc<dyn Store>, key: String, control: SocketAddrV4) {
    let mut lease = None;
    let mut eras = store.eras();
    loop {
        match renew_or_register(store.as_ref(), &key, lease).await {
            Ok(current) => lease = Some(current),
            Err(error) => {
                tracing::debug!(event = "seed_registration_failed", key, %control, %error)
            }
        }
        tokio::select! {
            () = sleep(RENEW_INTERVAL) => {}
            Ok(()) = eras.changed() => {
                let spread = RESTORE_SPREAD.mul_f64(rand::rng().random());
                sleep(spread).await;
            }
        }
    }
}

async fn renew_or_register(
    store: &dyn Store,
    key: &str,
    lease: Option<LeaseId>,
) -> Result<LeaseId, StoreError> {
    if let Some(lease) = lease
        && store.keep_alive(lease).await?
    {
        return Ok(lease);
    }
    let lease = store.grant(LEASE_TTL_SECONDS).await?;
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
