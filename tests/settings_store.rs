//! The etcd client against the stand-in store: conditional writes, watches, leases and failures.
//!
//! A write must apply only at its expected revision, and a lost response must not be reported as a
//! write that did not happen.

use std::time::Duration;

use berylvalve::{
    kernel::Kernel,
    standin::kv::Kv,
    store::{
        CommitOutcome, Compare, Consistency, EtcdStore, Position, Store, StoreError, Transaction,
        Write,
    },
};
use futures::StreamExt;
use tokio::time::timeout;

fn put(key: &str, value: &str, revision: u64) -> Transaction {
    Transaction {
        compares: vec![Compare {
            key: key.into(),
            position: Position { era: 0, revision },
        }],
        writes: vec![Write {
            key: key.into(),
            value: value.into(),
            lease: None,
        }],
    }
}

#[tokio::test]
async fn write_applies_only_at_the_expected_revision() {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await.unwrap();
    let store = EtcdStore::new(vec![kv.address()]);
    assert_eq!(
        store.commit(&put("a/1", "x", 0)).await.unwrap(),
        CommitOutcome::Applied
    );
    assert_eq!(
        store.commit(&put("a/1", "y", 0)).await.unwrap(),
        CommitOutcome::Conflict
    );
    store.commit(&put("b/1", "z", 0)).await.unwrap();
    let found = store
        .range("a/", Position::START, Consistency::Linearizable)
        .await
        .unwrap();
    assert_eq!(found.items.len(), 1);
    assert_eq!(found.items[0].value, b"x");
    assert_eq!(
        store
            .range("a/", found.items[0].position, Consistency::Linearizable)
            .await
            .unwrap()
            .items,
        []
    );
    kernel.stop().await;
}

#[tokio::test]
async fn watch_reports_changes_and_ends_when_the_store_fails() {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await.unwrap();
    let store = EtcdStore::new(vec![kv.address()]);
    let mut watch = store.watch("a/", Position::START).await.unwrap();
    store.commit(&put("a/1", "x", 0)).await.unwrap();
    assert_eq!(
        watch.next().await,
        Some(Position {
            era: 0,
            revision: 1
        })
    );
    kv.fail(|failures| failures.down = true);
    assert_eq!(watch.next().await, None);
    assert!(
        store
            .range("a/", Position::START, Consistency::Linearizable)
            .await
            .is_err()
    );
    assert_eq!(kv.calls().watches, 1);
    kernel.stop().await;
}

#[tokio::test]
async fn lost_response_is_indeterminate_and_refused_connection_is_not() {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await.unwrap();
    let store = EtcdStore::new(vec![kv.address()]);
    kv.fail(|failures| failures.lose = 1);
    let lost = store.commit(&put("a/1", "x", 0)).await.unwrap_err();
    assert!(lost.is_indeterminate(), "{lost}");
    assert_eq!(
        store
            .range("a/", Position::START, Consistency::Linearizable)
            .await
            .unwrap()
            .items[0]
            .value,
        b"x"
    );
    let unreachable = EtcdStore::new(vec!["127.0.0.1:1".parse().unwrap()]);
    let refused = unreachable.commit(&put("a/1", "x", 0)).await.unwrap_err();
    assert!(matches!(refused, StoreError::NotSent { .. }), "{refused}");
    kernel.stop().await;
}

#[tokio::test]
async fn expired_lease_deletes_its_keys_and_is_not_renewed() {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await.unwrap();
    let store = EtcdStore::new(vec![kv.address()]);
    let lease = store.grant(60).await.unwrap();
    let mut seed = put("seeds/1", "x", 0);
    seed.writes[0].lease = Some(lease);
    store.commit(&seed).await.unwrap();
    assert!(store.keep_alive(lease).await.unwrap());
    kv.lapse();
    assert!(!store.keep_alive(lease).await.unwrap());
    assert_eq!(
        store
            .range("seeds/", Position::START, Consistency::Linearizable)
            .await
            .unwrap()
            .items,
        []
    );
    kernel.stop().await;
}

#[tokio::test]
async fn call_to_a_slow_store_times_out() {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await.unwrap();
    let store = EtcdStore::new(vec![kv.address()]);
    kv.fail(|failures| failures.delay_ms = 60_000);
    let result = timeout(
        Duration::from_secs(5),
        store.range("a/", Position::START, Consistency::Linearizable),
    )
    .await;
    assert!(result.unwrap().unwrap_err().is_indeterminate());
    kernel.stop().await;
}
