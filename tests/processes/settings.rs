//! The settings of a running fleet, from the tool to the daemons, and through an outage of the store.

use std::{fmt::Write, time::Duration};

use serde_json::Value;
use tokio::time::sleep;

use crate::{fleet::Fleet, process::run_tool};

const POLLS: u32 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Replaces ids, revisions and times.
fn normalise(text: &str, fleet: &Fleet) -> String {
    let text = text.replace(fleet.folder.to_str().unwrap(), "FOLDER");
    let text = text.replace(&fleet.store_address(), "STORE");
    let mut words = Vec::new();
    let mut before = String::new();
    for word in text.split(' ') {
        let bare = word.trim_end_matches([',', '\n', ')', ';']);
        let hidden = matches!(
            before.as_str(),
            "revision" | "change" | "(change" | "time_ms"
        );
        words.push(match hidden && !bare.is_empty() {
            true => word.replacen(bare, "X", 1),
            false => word.to_owned(),
        });
        before = word.rsplit('\n').next().unwrap_or_default().to_owned();
    }
    words.join(" ")
}

async fn settings(session: &mut String, fleet: &Fleet, args: &[&str]) {
    let access = fleet.access_file();
    let mut all = vec!["settings", args[0], "--fleet", &access, "--author", "ann"];
    all.extend_from_slice(&args[1..]);
    let finished = run_tool(&all).await;
    writeln!(session, "$ berylvalve settings {}", args.join(" ")).unwrap();
    session.push_str(&normalise(&finished.output, fleet));
    session.push_str(&normalise(&finished.errors, fleet));
    writeln!(session, "exit status {}\n", finished.code).unwrap();
}

/// Returns the settings revision of each member.
async fn revisions(fleet: &Fleet) -> Vec<u64> {
    let finished = run_tool(&["status", "--fleet", &fleet.access_file(), "--json"]).await;
    let members: Vec<Value> = serde_json::from_str(&finished.output).unwrap();
    let revisions = members
        .iter()
        .map(|member| member["revision"].as_u64().unwrap());
    revisions.collect()
}

async fn wait_until_in_force(fleet: &Fleet, above: u64) -> u64 {
    for _ in 0..POLLS {
        let revisions = revisions(fleet).await;
        let all = revisions.len() == 6;
        let lowest = revisions.into_iter().min().unwrap_or(0);
        if all && lowest > above {
            return lowest;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("a change was never in force everywhere");
}

#[tokio::test]
async fn settings_session() {
    let mut fleet = Fleet::start_with_store("haverkamp").await;
    let mut session = String::new();
    let tree = fleet.tree_file();
    settings(&mut session, &fleet, &["set", "--tree", &tree]).await;
    let first = wait_until_in_force(&fleet, 0).await;
    settings(
        &mut session,
        &fleet,
        &["set", "services.wind.policy.timeout_ms", "1500"],
    )
    .await;
    let second = wait_until_in_force(&fleet, first).await;
    settings(&mut session, &fleet, &["get", "services.wind.policy"]).await;
    settings(&mut session, &fleet, &["explain", "wind", "checkin"]).await;
    settings(
        &mut session,
        &fleet,
        &["set", "services.wind.policy.timeout", "1"],
    )
    .await;
    let seen = first.to_string();
    let late = [
        "set",
        "--if-revision",
        &seen,
        "services.wind.policy.queue",
        "9",
    ];
    settings(&mut session, &fleet, &late).await;
    fleet.store.as_mut().unwrap().send("lose 1").await;
    settings(
        &mut session,
        &fleet,
        &["set", "services.wind.policy.timeout_ms", "1600"],
    )
    .await;
    let third = wait_until_in_force(&fleet, second).await;
    settings(&mut session, &fleet, &["history", "wind"]).await;
    // The fleet keeps what it has while the store is down, and serves.
    fleet.store.as_mut().unwrap().send("down").await;
    settings(&mut session, &fleet, &["get", "services.wind.policy"]).await;
    let args = fleet.call("wind", &["POST", "/checkin"]);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let called = run_tool(&args).await;
    assert_eq!(called.code, 0, "{}", called.errors);
    assert_eq!(revisions(&fleet).await, [third; 6]);
    let session = session.replace(&tree, "TREE").replace(&seen, "REVISION");
    insta::assert_snapshot!(session);
}
