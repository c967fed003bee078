//! Sessions of separate processes, kept as golden files with addresses and times normalised.

mod answers;
mod faulty;
mod fleet;
mod gated;
mod operations;
mod process;
mod relay;
mod requests;
mod settings;

use std::fmt::Write;

use fleet::Fleet;
use process::{run_daemon, run_tool};

/// Replaces what differs from run to run: ports, and the files of the test.
fn normalise(text: &str, fleet: &Fleet) -> String {
    let text = text.replace(fleet.folder.to_str().unwrap(), "FOLDER");
    let mut normal = String::new();
    let mut rest = text.as_str();
    while let Some(start) = rest.find("127.0.0.1:") {
        let (before, after) = rest.split_at(start + "127.0.0.1:".len());
        normal.push_str(before);
        normal.push_str("PORT");
        rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    normal.push_str(rest);
    normal
}

/// Runs a call and adds it with its answer to the session.
async fn call(session: &mut String, fleet: &Fleet, service: &str, rest: &[&str]) {
    let args = fleet.call(service, rest);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let finished = run_tool(&args).await;
    writeln!(
        session,
        "$ berylvalve {}",
        normalise(&args.join(" "), fleet)
    )
    .unwrap();
    session.push_str(&normalise(&finished.output, fleet));
    session.push_str(&normalise(&finished.errors, fleet));
    writeln!(session, "exit status {}\n", finished.code).unwrap();
}

/// Sends each kind of request of a site, and one that it does not have.
async fn session(name: &str) -> String {
    let mut fleet = Fleet::start(name).await;
    let mut session = String::new();
    let services: Vec<String> = fleet.tree.services.keys().cloned().collect();
    for service in &services {
        let requests = fleet.tree.services[service].requests.clone();
        for request in requests.values() {
            if request.policy.feed == Some(true) {
                let finished = follow(&fleet, service, &request.path).await;
                writeln!(session, "{finished}\n").unwrap();
                continue;
            }
            let rest = [request.method.as_str(), request.path.as_str()];
            call(&mut session, &fleet, service, &rest).await;
        }
        call(&mut session, &fleet, service, &["GET", "/unknown"]).await;
    }
    let stopping = std::mem::take(&mut fleet.agents);
    let balancers = std::mem::take(&mut fleet.balancers);
    for mut process in stopping.into_iter().chain(balancers) {
        let code = process.terminate().await;
        writeln!(session, "daemon stopped with exit status {code}").unwrap();
    }
    session
}

/// Follows a feed for three events, whose numbers follow the clock.
async fn follow(fleet: &Fleet, service: &str, path: &str) -> String {
    let args = fleet.call(service, &["--feed", "3", "GET", path]);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let finished = run_tool(&args).await;
    let mut numbers = Vec::new();
    for line in finished.output.lines() {
        let number = line.split(' ').next().unwrap();
        numbers.push(number.parse::<u64>().unwrap());
    }
    let first = numbers[0];
    let steps: Vec<u64> = numbers.iter().map(|n| n - first).collect();
    let command = normalise(&args.join(" "), fleet);
    format!(
        "$ berylvalve {command}\nevents first+{steps:?}\nexit status {}",
        finished.code
    )
}

#[tokio::test]
async fn haverkamp_session() {
    insta::assert_snapshot!(session("haverkamp").await);
}

#[tokio::test]
async fn dolbom_session() {
    insta::assert_snapshot!(session("dolbom").await);
}

#[tokio::test]
async fn bad_settings_stop_a_daemon_before_it_starts() {
    let file = std::env::temp_dir().join(format!("berylvalve-{:016x}.json", rand::random::<u64>()));
    std::fs::write(&file, r#"{"role":"balancer","domain":3}"#).unwrap();
    let finished = run_daemon(&file).await;
    std::fs::remove_file(&file).unwrap();
    assert_eq!(finished.code, 2);
    assert_eq!(finished.output, "");
    let expected = format!(
        "berylvalved: {}: at domain: invalid type: integer `3`, expected a string at line 1 column 29\n",
        file.display()
    );
    assert_eq!(finished.errors, expected);
}
