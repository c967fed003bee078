//! Outages of the store under a whole fleet.
//!
//! A store that fails or returns with older data must not change the active settings, and gets the
//! lost parts back.

use std::time::Duration;

use berylvalve::{
    daemon::Daemon,
    dev,
    kernel::Kernel,
    seeds::{find_seeds, maintain_seed},
    settings::{ActiveSettings, change::Change, edit::Outcome},
    standin::kv::Kv,
    store::EtcdStore,
};
use serde_json::json;
use tokio::time::sleep;

const POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn revision(daemon: &Daemon) -> u64 {
    let active = daemon
        .kernel
        .find::<ActiveSettings>(ActiveSettings::NAME)
        .unwrap();
    active.current().revision
}

/// Changes a value, waits until it is active in all daemons, and returns its revision.
async fn change(fleet: &dev::fleet::Fleet, timeout_ms: u64) -> u64 {
    let change = Change::Set {
        path: "services.wind.policy.timeout_ms".into(),
        value: json!(timeout_ms),
    };
    let (_, outcome) = fleet.operator("ann").apply(change, None).await;
    let Outcome::Accepted {
        revision: accepted, ..
    } = outcome
    else {
        panic!("{outcome:?}");
    };
    for _ in 0..POLLS {
        if fleet
            .daemons()
            .iter()
            .all(|daemon| revision(daemon) >= accepted)
        {
            return accepted;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("revision {accepted} did not become active in all daemons");
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_keeps_its_settings_when_the_store_fails_and_returns_older() {
    let site = dev::site("haverkamp").unwrap();
    let fleet = dev::start(&site, 1).await.unwrap();
    change(&fleet, 4001).await;
    let older = fleet.kv.save();
    let accepted = change(&fleet, 4002).await;
    fleet.kv.fail(|failures| failures.down = true);
    // A process that starts during the outage gets its settings from its peers.
    let late = fleet.start_balancer(0).await.unwrap();
    assert_eq!(revision(&late), accepted);
    late.kill().await;
    fleet.kv.restore(older);
    fleet.kv.fail(|failures| failures.down = false);
    for poll in 0.. {
        for daemon in fleet.daemons() {
            assert_eq!(revision(&daemon), accepted);
        }
        let stored = fleet.operator("reader").read().await;
        if stored.is_ok_and(|stored| stored.head.revision == accepted) {
            break;
        }
        assert!(
            poll < POLLS,
            "the lost parts were not restored to the store"
        );
        sleep(POLL_INTERVAL).await;
    }
    change(&fleet, 4003).await;
    fleet.stop().await;
}

#[tokio::test]
async fn seed_is_registered_again_after_its_lease_expires() {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await.unwrap();
    let store = std::sync::Arc::new(EtcdStore::new(vec![kv.address()]));
    let seed = "10.0.0.1:7000".parse().unwrap();
    let key = "berylvalve/r/seeds/10.0.0.1:7000".to_owned();
    kernel.spawn(maintain_seed(store.clone(), key, seed));
    for lapses in 0..2 {
        let mut polls = 0;
        while find_seeds(store.as_ref(), "berylvalve/r/seeds/").await != [seed] {
            assert!(polls < POLLS, "no seed after {lapses} lapses");
            polls += 1;
            sleep(POLL_INTERVAL).await;
        }
        kv.lapse();
        assert_eq!(find_seeds(store.as_ref(), "berylvalve/r/seeds/").await, []);
    }
    kernel.stop().await;
}
