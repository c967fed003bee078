//! Commands that start the daemons of the users' platform.

use std::time::Duration;

use berylvalve::{
    cli::{self, Command, FileKind},
    soak::Plan,
};
use pico_args::Arguments;

fn parse(words: &[&str]) -> Result<Command, String> {
    let words = words.iter().map(Into::into).collect();
    cli::parse(Arguments::from_vec(words)).map_err(|error| error.to_string())
}

#[test]
fn soak_takes_sizes_that_fit_its_addresses_and_times_that_hold_faults() {
    for (option, value) in [
        ("--balancers", "2"),
        ("--agents", "251"),
        ("--callers", "many"),
        ("--seconds", "29.9"),
        ("--seconds", "NaN"),
    ] {
        assert!(parse(&["soak", option, value]).is_err(), "{option} {value}");
    }
    let words = ["soak", "--agents", "250", "--seconds", "30", "--runs", "3"];
    let Ok(Command::Soak(options)) = parse(&words) else {
        panic!("not parsed");
    };
    assert_eq!((options.first.size.agents, options.runs), (250, 3));
    assert_eq!(options.first.time, Duration::from_secs(30));
    assert_eq!(options.first.plan, Plan::Drawn);
}

#[test]
fn dev_shows_the_platform_on_request() {
    let Ok(Command::Tour(options)) = parse(&["dev", "--platform", "--callers", "9"]) else {
        panic!("not parsed");
    };
    assert_eq!(
        (options.run.plan, options.run.size.callers),
        (Plan::Tour, 9)
    );
    assert!(matches!(parse(&["dev"]), Ok(Command::Dev(_))));
    assert!(parse(&["dev", "--platform", "--site", "dolbom"]).is_err());
}

#[test]
fn check_knows_the_settings_of_the_platform() {
    let Ok(Command::Check(kind, _)) = parse(&["check", "--kind", "node", "FILE"]) else {
        panic!("not parsed");
    };
    assert_eq!(kind, FileKind::Node);
}
