//! Edits of the tree in the store: concurrent operators, lost responses and an unavailable store.
//!
//! An edit must not overwrite another operator's change, and must not report an outcome that the
//! store contradicts.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    clock::Time,
    config::tree::Region,
    dev,
    kernel::Kernel,
    settings::{
        change::Change,
        client::SettingsClient,
        edit::{Action, Edit, Event, Outcome},
        layout::{Layout, StoredTree},
        part::PartName,
    },
    standin::kv::Kv,
    store::{CommitOutcome, EtcdStore},
};
use serde_json::json;

struct Fixture {
    kernel: Kernel,
    kv: Arc<Kv>,
    store: EtcdStore,
    tree: Region,
}

impl Fixture {
    async fn start() -> Self {
        let kernel = Kernel::new();
        let kv = Kv::start(&kernel).await.unwrap();
        let store = EtcdStore::new(vec![kv.address()]);
        let mut tree = dev::site("haverkamp").unwrap().tree;
        for (index, service) in tree.services.values_mut().enumerate() {
            service.address = format!("10.0.0.{}:443", index + 1).parse().unwrap();
        }
        let fixture = Self {
            kernel,
            kv,
            store,
            tree,
        };
        let change = Change::Replace(fixture.tree.clone());
        let (_, outcome) = fixture.client("setup").apply(change, None).await;
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        fixture
    }

    fn client<'a>(&'a self, author: &'a str) -> SettingsClient<'a> {
        SettingsClient {
            store: &self.store,
            region: &self.tree.region,
            author,
            fleet: None,
        }
    }

    async fn stored(&self) -> StoredTree {
        self.client("reader").read().await.unwrap()
    }

    fn edit(&self, change: Change, author: &str) -> Edit {
        let (id, author) = (format!("id-{author}"), author.to_owned());
        let deadline = Time::from_millis(10_000);
        Edit::new(&self.tree.region, change, id, author, deadline)
    }

    /// Executes the write of an edit's state machine.
    async fn write(&self, action: &Action) -> CommitOutcome {
        let Action::Write(proposal) = action else {
            panic!("no write: {action:?}");
        };
        let layout = Layout::new(&self.tree.region);
        let written = berylvalve::settings::client::commit_proposal(&self.store, &layout, proposal);
        written.await.unwrap()
    }
}

fn set(path: &str, value: serde_json::Value) -> Change {
    Change::Set {
        path: path.into(),
        value,
    }
}

const NOW: Time = Time::from_millis(1);

#[tokio::test]
async fn accepted_edit_is_in_the_tree_and_the_history() {
    let fixture = Fixture::start().await;
    let client = fixture.client("ann");
    let change = set("services.wind.policy.timeout_ms", json!(1500));
    let (id, outcome) = client.apply(change, None).await;
    let stored = fixture.stored().await;
    let wind = PartName::Service("wind".into());
    let part = &stored.parts[&wind];
    assert_eq!(
        outcome,
        Outcome::Accepted {
            revision: part.revision,
            read_back: false
        }
    );
    assert_eq!((&part.change, part.author.as_str()), (&id, "ann"));
    let history = client.history(&wind).await.unwrap();
    let authors: Vec<&str> = history.iter().map(|part| part.author.as_str()).collect();
    assert_eq!(authors, ["ann", "setup"]);
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn concurrent_edits_of_different_parts_both_apply() {
    let fixture = Fixture::start().await;
    let mut one = fixture.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let mut two = fixture.edit(set("services.charts.policy.timeout_ms", json!(2000)), "bob");
    let stored = fixture.stored().await;
    let first = one.handle(Event::Read(stored.clone(), 5), NOW);
    let second = two.handle(Event::Read(stored, 5), NOW);
    assert_eq!(fixture.write(&first).await, CommitOutcome::Applied);
    let committed = fixture.write(&second).await;
    assert_eq!(committed, CommitOutcome::Conflict);
    assert_eq!(two.handle(Event::WriteEnded(committed), NOW), Action::Read);
    let again = two.handle(Event::Read(fixture.stored().await, 6), NOW);
    assert_eq!(fixture.write(&again).await, CommitOutcome::Applied);
    let stored = fixture.stored().await;
    let tree = berylvalve::settings::part::join(&fixture.tree.region, &stored.parts).unwrap();
    assert_eq!(tree.services["wind"].policy.timeout_ms, Some(1000));
    assert_eq!(tree.services["charts"].policy.timeout_ms, Some(2000));
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn concurrent_edit_of_the_same_part_is_refused_with_differences() {
    let fixture = Fixture::start().await;
    let mut one = fixture.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let mut two = fixture.edit(set("services.wind.policy.queue", json!(7)), "bob");
    let stored = fixture.stored().await;
    let first = one.handle(Event::Read(stored.clone(), 5), NOW);
    let second = two.handle(Event::Read(stored, 5), NOW);
    assert_eq!(fixture.write(&first).await, CommitOutcome::Applied);
    let committed = fixture.write(&second).await;
    two.handle(Event::WriteEnded(committed), NOW);
    let finished = two.handle(Event::Read(fixture.stored().await, 6), NOW);
    let Action::Finish(Outcome::Refused {
        author,
        differences,
        ..
    }) = finished
    else {
        panic!("not refused: {finished:?}");
    };
    assert_eq!(author, "ann");
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].path, "service.policy.timeout_ms");
    assert_eq!(differences[0].now, json!(1000));
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn concurrent_edits_cannot_give_two_services_the_same_address() {
    let fixture = Fixture::start().await;
    let address = json!("10.0.0.9:443");
    let mut one = fixture.edit(set("services.wind.address", address.clone()), "ann");
    let mut two = fixture.edit(set("services.charts.address", address), "bob");
    let stored = fixture.stored().await;
    let first = one.handle(Event::Read(stored.clone(), 5), NOW);
    let second = two.handle(Event::Read(stored, 5), NOW);
    assert_eq!(fixture.write(&first).await, CommitOutcome::Applied);
    let committed = fixture.write(&second).await;
    assert_eq!(committed, CommitOutcome::Conflict);
    two.handle(Event::WriteEnded(committed), NOW);
    let finished = two.handle(Event::Read(fixture.stored().await, 6), NOW);
    assert!(
        matches!(finished, Action::Finish(Outcome::Invalid { .. })),
        "{finished:?}"
    );
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn write_with_a_lost_response_is_read_back() {
    let fixture = Fixture::start().await;
    fixture.kv.fail(|failures| failures.lose = 1);
    let change = set("services.wind.policy.timeout_ms", json!(1500));
    let (_, outcome) = fixture.client("ann").apply(change, None).await;
    assert!(
        matches!(
            outcome,
            Outcome::Accepted {
                read_back: true,
                ..
            }
        ),
        "{outcome:?}"
    );
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn lost_write_followed_by_another_edit_is_refused() {
    let fixture = Fixture::start().await;
    let mut one = fixture.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let stored = fixture.stored().await;
    let write = one.handle(Event::Read(stored, 5), NOW);
    assert!(matches!(write, Action::Write(_)));
    // The write is lost before it reaches the store, and another operator edits the same value.
    let lost = one.handle(
        Event::Failed {
            indeterminate: true,
        },
        NOW,
    );
    assert!(matches!(lost, Action::Wait(_)));
    let (id, _) = fixture
        .client("bob")
        .apply(set("services.wind.policy.timeout_ms", json!(2000)), None)
        .await;
    let finished = one.handle(Event::Read(fixture.stored().await, 6), NOW);
    let Action::Finish(Outcome::Refused { change, .. }) = finished else {
        panic!("not refused: {finished:?}");
    };
    assert_eq!(change, id);
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn delayed_write_is_confirmed_by_repeating_it() {
    let fixture = Fixture::start().await;
    let mut one = fixture.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let write = one.handle(Event::Read(fixture.stored().await, 5), NOW);
    one.handle(
        Event::Failed {
            indeterminate: true,
        },
        NOW,
    );
    let again = one.handle(Event::Read(fixture.stored().await, 6), NOW);
    assert_eq!(again, write);
    // The first write reaches the store late, between the read and the repeated write.
    assert_eq!(fixture.write(&write).await, CommitOutcome::Applied);
    let repeated = fixture.write(&again).await;
    assert_eq!(repeated, CommitOutcome::Conflict);
    assert_eq!(one.handle(Event::WriteEnded(repeated), NOW), Action::Read);
    let finished = one.handle(Event::Read(fixture.stored().await, 7), NOW);
    let accepted = matches!(
        finished,
        Action::Finish(Outcome::Accepted {
            read_back: true,
            ..
        })
    );
    assert!(accepted, "{finished:?}");
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn edit_of_a_part_newer_than_if_revision_is_refused() {
    let fixture = Fixture::start().await;
    let seen = fixture.stored().await.head.revision;
    let change = set("services.wind.policy.timeout_ms", json!(1000));
    fixture.client("ann").apply(change, None).await;
    let change = set("services.wind.policy.queue", json!(7));
    let (_, outcome) = fixture.client("bob").apply(change, Some(seen)).await;
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn invalid_change_ends_as_invalid_without_a_write() {
    let fixture = Fixture::start().await;
    let writes = fixture.kv.calls().writes;
    for (path, value) in [
        ("services.wind.policy.priority", json!(9)),
        ("services.wind.policy.timeout", json!(9)),
        ("services.wind.tag", json!(7)),
        ("services.charts.address", json!("10.0.0.2:443")),
    ] {
        let (_, outcome) = fixture.client("ann").apply(set(path, value), None).await;
        assert!(
            matches!(outcome, Outcome::Invalid { .. }),
            "{path}: {outcome:?}"
        );
    }
    assert_eq!(fixture.kv.calls().writes, writes);
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn tag_of_a_removed_service_cannot_be_reused() {
    let fixture = Fixture::start().await;
    let client = fixture.client("ann");
    let mut charts = serde_json::to_value(&fixture.tree.services["charts"]).unwrap();
    let (_, removed) = client
        .apply(set("services.charts", json!(null)), None)
        .await;
    assert!(matches!(removed, Outcome::Accepted { .. }), "{removed:?}");
    let (_, reused) = client
        .apply(set("services.maps", charts.clone()), None)
        .await;
    assert!(matches!(reused, Outcome::Invalid { .. }), "{reused:?}");
    charts["tag"] = json!(77);
    let (_, fresh) = client.apply(set("services.maps", charts), None).await;
    assert!(matches!(fresh, Outcome::Accepted { .. }), "{fresh:?}");
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn store_outage_ends_as_unavailable_or_after_a_write_as_unknown() {
    let fixture = Fixture::start().await;
    let mut edit = fixture.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let late = Time::from_millis(10_001);
    assert!(matches!(
        edit.handle(
            Event::Failed {
                indeterminate: true
            },
            NOW
        ),
        Action::Wait(_)
    ));
    let finished = edit.handle(
        Event::Failed {
            indeterminate: true,
        },
        late,
    );
    assert_eq!(finished, Action::Finish(Outcome::Unavailable));
    let mut edit = fixture.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    edit.handle(Event::Read(fixture.stored().await, 5), NOW);
    let finished = edit.handle(
        Event::Failed {
            indeterminate: true,
        },
        late,
    );
    assert_eq!(finished, Action::Finish(Outcome::Unknown));
    fixture.kernel.stop().await;
}

#[tokio::test]
async fn edit_is_accepted_once_a_slow_store_recovers() {
    let fixture = Fixture::start().await;
    fixture.kv.fail(|failures| failures.delay_ms = 1_500);
    let kv = fixture.kv.clone();
    let recovery = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(2)).await;
        kv.fail(|failures| failures.delay_ms = 0);
    });
    let change = set("services.wind.policy.timeout_ms", json!(1500));
    let (_, outcome) = fixture.client("ann").apply(change, None).await;
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    recovery.await.unwrap();
    fixture.kernel.stop().await;
}
