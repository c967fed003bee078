//! Edits of the tree in the store: two operators at once, lost answers, a store that is down.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    clock::Time,
    config::tree::Region,
    dev,
    kernel::Kernel,
    settings::{
        change::Change,
        edit::{Action, Edit, Event, Outcome},
        layout::{Layout, Stored},
        operator::Operator,
        part::PartName,
    },
    standin::kv::Kv,
    store::{CommitOutcome, EtcdStore},
};
use serde_json::json;

struct Bench {
    kernel: Kernel,
    kv: Arc<Kv>,
    store: EtcdStore,
    tree: Region,
}

impl Bench {
    async fn start() -> Self {
        let kernel = Kernel::new();
        let kv = Kv::start(&kernel).await.unwrap();
        let store = EtcdStore::new(vec![kv.address()]);
        let mut tree = dev::site("haverkamp").unwrap().tree;
        for (index, service) in tree.services.values_mut().enumerate() {
            service.address = format!("10.0.0.{}:443", index + 1).parse().unwrap();
        }
        let bench = Self {
            kernel,
            kv,
            store,
            tree,
        };
        let change = Change::Replace(bench.tree.clone());
        let (_, outcome) = bench.operator("setup").change(change, None).await;
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        bench
    }

    fn operator<'a>(&'a self, author: &'a str) -> Operator<'a> {
        Operator {
            store: &self.store,
            region: &self.tree.region,
            author,
            fleet: None,
        }
    }

    async fn stored(&self) -> Stored {
        self.operator("reader").read().await.unwrap()
    }

    fn edit(&self, change: Change, author: &str) -> Edit {
        let (id, author) = (format!("id-{author}"), author.to_owned());
        let deadline = Time::from_millis(10_000);
        Edit::new(&self.tree.region, change, id, author, deadline)
    }

    /// Carries a state machine's write out.
    async fn write(&self, action: &Action) -> CommitOutcome {
        let Action::Write(proposal) = action else {
            panic!("no write: {action:?}");
        };
        let layout = Layout::new(&self.tree.region);
        let written = berylvalve::settings::operator::write(&self.store, &layout, proposal);
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
async fn an_accepted_edit_stands_in_the_tree_and_in_the_history() {
    let bench = Bench::start().await;
    let operator = bench.operator("ann");
    let change = set("services.wind.policy.timeout_ms", json!(1500));
    let (id, outcome) = operator.change(change, None).await;
    let stored = bench.stored().await;
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
    let history = operator.history(&wind).await.unwrap();
    let authors: Vec<&str> = history.iter().map(|part| part.author.as_str()).collect();
    assert_eq!(authors, ["ann", "setup"]);
    bench.kernel.stop().await;
}

#[tokio::test]
async fn edits_of_different_parts_at_once_both_land() {
    let bench = Bench::start().await;
    let mut one = bench.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let mut two = bench.edit(set("services.charts.policy.timeout_ms", json!(2000)), "bob");
    let stored = bench.stored().await;
    let first = one.handle(Event::Read(stored.clone(), 5), NOW);
    let second = two.handle(Event::Read(stored, 5), NOW);
    assert_eq!(bench.write(&first).await, CommitOutcome::Applied);
    let committed = bench.write(&second).await;
    assert_eq!(committed, CommitOutcome::Conflict);
    assert_eq!(two.handle(Event::Written(committed), NOW), Action::Read);
    let again = two.handle(Event::Read(bench.stored().await, 6), NOW);
    assert_eq!(bench.write(&again).await, CommitOutcome::Applied);
    let stored = bench.stored().await;
    let tree = berylvalve::settings::part::join(&bench.tree.region, &stored.parts).unwrap();
    assert_eq!(tree.services["wind"].policy.timeout_ms, Some(1000));
    assert_eq!(tree.services["charts"].policy.timeout_ms, Some(2000));
    bench.kernel.stop().await;
}

#[tokio::test]
async fn the_second_edit_of_one_part_is_told_what_changed() {
    let bench = Bench::start().await;
    let mut one = bench.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let mut two = bench.edit(set("services.wind.policy.queue", json!(7)), "bob");
    let stored = bench.stored().await;
    let first = one.handle(Event::Read(stored.clone(), 5), NOW);
    let second = two.handle(Event::Read(stored, 5), NOW);
    assert_eq!(bench.write(&first).await, CommitOutcome::Applied);
    let committed = bench.write(&second).await;
    two.handle(Event::Written(committed), NOW);
    let finished = two.handle(Event::Read(bench.stored().await, 6), NOW);
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
    bench.kernel.stop().await;
}

#[tokio::test]
async fn two_services_never_get_one_address_from_edits_at_once() {
    let bench = Bench::start().await;
    let address = json!("10.0.0.9:443");
    let mut one = bench.edit(set("services.wind.address", address.clone()), "ann");
    let mut two = bench.edit(set("services.charts.address", address), "bob");
    let stored = bench.stored().await;
    let first = one.handle(Event::Read(stored.clone(), 5), NOW);
    let second = two.handle(Event::Read(stored, 5), NOW);
    assert_eq!(bench.write(&first).await, CommitOutcome::Applied);
    let committed = bench.write(&second).await;
    assert_eq!(committed, CommitOutcome::Conflict);
    two.handle(Event::Written(committed), NOW);
    let finished = two.handle(Event::Read(bench.stored().await, 6), NOW);
    assert!(
        matches!(finished, Action::Finish(Outcome::Invalid { .. })),
        "{finished:?}"
    );
    bench.kernel.stop().await;
}

#[tokio::test]
async fn an_answer_lost_after_the_write_took_effect_is_read_back() {
    let bench = Bench::start().await;
    bench.kv.fail(|failures| failures.lose = 1);
    let change = set("services.wind.policy.timeout_ms", json!(1500));
    let (_, outcome) = bench.operator("ann").change(change, None).await;
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
    bench.kernel.stop().await;
}

#[tokio::test]
async fn a_lost_write_that_another_edit_overtook_is_told_apart() {
    let bench = Bench::start().await;
    let mut one = bench.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let stored = bench.stored().await;
    let write = one.handle(Event::Read(stored, 5), NOW);
    assert!(matches!(write, Action::Write(_)));
    // The write is lost before it arrives, and another operator is faster.
    let lost = one.handle(Event::Failed { lost: true }, NOW);
    assert!(matches!(lost, Action::Wait(_)));
    let (id, _) = bench
        .operator("bob")
        .change(set("services.wind.policy.timeout_ms", json!(2000)), None)
        .await;
    let finished = one.handle(Event::Read(bench.stored().await, 6), NOW);
    let Action::Finish(Outcome::Refused { change, .. }) = finished else {
        panic!("not refused: {finished:?}");
    };
    assert_eq!(change, id);
    bench.kernel.stop().await;
}

#[tokio::test]
async fn a_lost_write_still_on_its_way_is_settled_by_the_same_write() {
    let bench = Bench::start().await;
    let mut one = bench.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let write = one.handle(Event::Read(bench.stored().await, 5), NOW);
    one.handle(Event::Failed { lost: true }, NOW);
    let again = one.handle(Event::Read(bench.stored().await, 6), NOW);
    assert_eq!(again, write);
    // The first one arrives late, between the reading and the repetition.
    assert_eq!(bench.write(&write).await, CommitOutcome::Applied);
    let repeated = bench.write(&again).await;
    assert_eq!(repeated, CommitOutcome::Conflict);
    assert_eq!(one.handle(Event::Written(repeated), NOW), Action::Read);
    let finished = one.handle(Event::Read(bench.stored().await, 7), NOW);
    let accepted = matches!(
        finished,
        Action::Finish(Outcome::Accepted {
            read_back: true,
            ..
        })
    );
    assert!(accepted, "{finished:?}");
    bench.kernel.stop().await;
}

#[tokio::test]
async fn an_edit_of_what_the_operator_has_not_seen_is_refused() {
    let bench = Bench::start().await;
    let seen = bench.stored().await.head.revision;
    let change = set("services.wind.policy.timeout_ms", json!(1000));
    bench.operator("ann").change(change, None).await;
    let change = set("services.wind.policy.queue", json!(7));
    let (_, outcome) = bench.operator("bob").change(change, Some(seen)).await;
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    bench.kernel.stop().await;
}

#[tokio::test]
async fn an_invalid_tree_is_refused_before_the_write() {
    let bench = Bench::start().await;
    let writes = bench.kv.calls().writes;
    for (path, value) in [
        ("services.wind.policy.priority", json!(9)),
        ("services.wind.policy.timeout", json!(9)),
        ("services.wind.tag", json!(7)),
        ("services.charts.address", json!("10.0.0.2:443")),
    ] {
        let (_, outcome) = bench.operator("ann").change(set(path, value), None).await;
        assert!(
            matches!(outcome, Outcome::Invalid { .. }),
            "{path}: {outcome:?}"
        );
    }
    assert_eq!(bench.kv.calls().writes, writes);
    bench.kernel.stop().await;
}

#[tokio::test]
async fn the_tag_of_a_removed_service_is_never_given_out_again() {
    let bench = Bench::start().await;
    let operator = bench.operator("ann");
    let mut charts = serde_json::to_value(&bench.tree.services["charts"]).unwrap();
    let (_, removed) = operator
        .change(set("services.charts", json!(null)), None)
        .await;
    assert!(matches!(removed, Outcome::Accepted { .. }), "{removed:?}");
    let (_, reused) = operator
        .change(set("services.maps", charts.clone()), None)
        .await;
    assert!(matches!(reused, Outcome::Invalid { .. }), "{reused:?}");
    charts["tag"] = json!(77);
    let (_, fresh) = operator.change(set("services.maps", charts), None).await;
    assert!(matches!(fresh, Outcome::Accepted { .. }), "{fresh:?}");
    bench.kernel.stop().await;
}

#[tokio::test]
async fn a_store_that_is_down_changes_nothing_and_the_tool_says_so() {
    let bench = Bench::start().await;
    let mut edit = bench.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    let late = Time::from_millis(10_001);
    assert!(matches!(
        edit.handle(Event::Failed { lost: true }, NOW),
        Action::Wait(_)
    ));
    let finished = edit.handle(Event::Failed { lost: true }, late);
    assert_eq!(finished, Action::Finish(Outcome::Unavailable));
    let mut edit = bench.edit(set("services.wind.policy.timeout_ms", json!(1000)), "ann");
    edit.handle(Event::Read(bench.stored().await, 5), NOW);
    let finished = edit.handle(Event::Failed { lost: true }, late);
    assert_eq!(finished, Action::Finish(Outcome::Unknown));
    bench.kernel.stop().await;
}

#[tokio::test]
async fn a_slow_store_still_comes_to_a_certain_answer() {
    let bench = Bench::start().await;
    bench.kv.fail(|failures| failures.delay_ms = 1_500);
    let kv = bench.kv.clone();
    let recovery = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(2)).await;
        kv.fail(|failures| failures.delay_ms = 0);
    });
    let change = set("services.wind.policy.timeout_ms", json!(1500));
    let (_, outcome) = bench.operator("ann").change(change, None).await;
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    recovery.await.unwrap();
    bench.kernel.stop().await;
}
