//! The operators' commands against a running fleet.

use std::{fs, time::Duration};

use futures::future::join_all;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    fleet::Fleet,
    process::{Process, run_daemon, run_tool},
};

const POLLS: u32 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn members(access: &str) -> Vec<Value> {
    let finished = run_tool(&["status", "--fleet", access, "--json"]).await;
    assert_eq!(finished.code, 0, "{}", finished.errors);
    serde_json::from_str(&finished.output).unwrap()
}

/// Waits until the fleet tells a state for a control address.
async fn wait_for_state(access: &str, control: &str, state: &str) {
    for _ in 0..POLLS {
        let members = members(access).await;
        let found = members.iter().find(|m| m["control"] == control);
        if found.is_some_and(|m| m["state"] == state) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("{control} was never {state}");
}

#[tokio::test]
async fn an_operator_sees_the_fleet_and_drains_an_agent() {
    let mut fleet = Fleet::start("haverkamp").await;
    let access = fleet.access_file();
    for _ in 0..POLLS {
        if members(&access).await.len() == 6 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let all = members(&access).await;
    assert_eq!(all.len(), 6, "{all:?}");
    let agent = all.iter().find(|m| m["role"] == "agent").unwrap();
    let control = agent["control"].as_str().unwrap().to_owned();
    let finished = run_tool(&["drain", "--fleet", &access, &control]).await;
    assert_eq!(finished.code, 0, "{}", finished.errors);
    wait_for_state(&access, &control, "left").await;
    let ended = join_all(fleet.agents.iter_mut().map(Process::has_ended)).await;
    assert_eq!(ended.iter().filter(|ended| **ended).count(), 1);
}

/// Returns the decisions that the fleet remembers about a subject, as pairs of event and reason.
async fn explained(access: &str, subject: &str) -> Vec<(Value, String)> {
    let args = ["explain-flow", "--fleet", access, "--json", subject];
    let finished = run_tool(&args).await;
    assert_eq!(finished.code, 0, "{}", finished.errors);
    let found: Vec<(String, Value)> = serde_json::from_str(&finished.output).unwrap();
    let pair = |d: &Value| {
        format!(
            "{} {}",
            d["event"].as_str().unwrap(),
            d["reason"].as_str().unwrap()
        )
    };
    found.iter().map(|(_, d)| (d.clone(), pair(d))).collect()
}

#[tokio::test]
async fn the_fleet_explains_where_a_request_and_its_flow_went() {
    let fleet = Fleet::start("haverkamp").await;
    let access = fleet.access_file();
    let args = fleet.call("wind", &["--id", "school-7", "POST", "/checkin"]);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let called = run_tool(&args).await;
    assert_eq!(called.code, 0, "{}", called.errors);
    let request = explained(&access, "school-7").await;
    let steps: Vec<&str> = request.iter().map(|(_, pair)| pair.as_str()).collect();
    // A plain caller's first try brings the key that the second one runs with.
    assert_eq!(steps, ["request not-run", "request answered"]);
    let server = request[1].0["chosen"].as_str().unwrap();
    assert!(called.output.contains(server), "{} {server}", called.output);
    let caller = request[1].0["caller"].as_str().unwrap();
    let flow = explained(&access, caller).await;
    for expected in ["routed placed", "routed owner", "request answered"] {
        assert!(
            flow.iter().any(|(_, pair)| pair == expected),
            "{expected}: {flow:?}"
        );
    }
    let nothing = run_tool(&["explain-flow", "--fleet", &access, "school-8"]).await;
    assert_eq!(
        nothing.output,
        "no member remembers a decision about school-8\n"
    );
}

#[tokio::test]
async fn a_stranger_can_neither_see_nor_drain() {
    let mut fleet = Fleet::start("dolbom").await;
    let access = fleet.access_file();
    let forged = fs::read_to_string(&access)
        .unwrap()
        .replace("00112233", "ff112233");
    let stranger = fleet.folder.join("stranger.json");
    fs::write(&stranger, forged).unwrap();
    let stranger = stranger.to_str().unwrap();
    let seen = run_tool(&["status", "--fleet", stranger]).await;
    assert_eq!(seen.code, 1);
    assert_eq!(seen.output, "");
    let peer = members(&access).await[0]["control"]
        .as_str()
        .unwrap()
        .to_owned();
    let drained = run_tool(&["drain", "--fleet", stranger, &peer]).await;
    assert_eq!(drained.code, 1);
    let all = fleet.balancers.iter_mut().chain(&mut fleet.agents);
    let ended = join_all(all.map(Process::has_ended)).await;
    assert_eq!(ended, [false; 6]);
}

#[tokio::test]
async fn two_keys_of_one_number_are_refused() {
    let folder = Fleet::start("dolbom").await;
    let file = folder.folder.join("balancer-0.json");
    let mut settings: Value = serde_json::from_str(&fs::read_to_string(&file).unwrap()).unwrap();
    let key = settings["keys"][0].clone();
    settings["keys"].as_array_mut().unwrap().push(key);
    fs::write(&file, settings.to_string()).unwrap();
    let finished = run_daemon(&file).await;
    assert_eq!(finished.code, 2);
    assert!(
        finished
            .errors
            .ends_with("at keys[1].id: an id that no other key has\n"),
        "{}",
        finished.errors
    );
}
