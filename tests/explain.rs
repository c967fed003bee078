//! From the id of a request to all decisions about it.

use berylvalve::explain::{explain, field};

const BALANCER: &str = "\
time=2026-04-12T20:17:56.068545Z level=info event=flow_placed flow=100.64.0.27:1110>198.18.0.1:8080 agent=10.4.0.26:7161 tries=1
time=2026-04-12T20:17:56.070862Z level=info event=agent_refused flow=100.64.0.27:1110>198.18.0.1:8080 agent=10.4.0.26:7161 reason=busy
time=2026-04-12T20:17:56.070891Z level=info event=flow_placed flow=100.64.0.27:1110>198.18.0.1:8080 agent=10.1.0.26:7161 tries=2
time=2026-04-12T20:17:56.070900Z level=info event=flow_placed flow=100.64.0.28:1110>198.18.0.1:8080 agent=10.1.0.26:7161 tries=1
time=2026-04-12T20:18:00.682550Z level=info event=flow_reset flow=100.64.0.27:1110>198.18.0.1:8080 reason=not_held
";

const AGENT: &str = "\
time=2026-04-12T20:17:56.074798Z level=info event=request request=2249f706c360af19 flow=100.64.0.27:1110>198.18.0.1:8080 busy=3
time=2026-04-12T20:17:56.074799Z level=info event=request request=77 flow=100.64.0.27:1110>198.18.0.1:8080 busy=3
";

fn events(subject: &str) -> Vec<&'static str> {
    let lines = explain(&[AGENT, BALANCER], subject);
    lines
        .iter()
        .map(|line| field(line, "event").unwrap())
        .collect()
}

#[test]
fn request_is_followed_over_all_processes_in_the_order_of_time() {
    let expected = [
        "flow_placed",
        "agent_refused",
        "flow_placed",
        "request",
        "flow_reset",
    ];
    assert_eq!(events("2249f706c360af19"), expected);
}

#[test]
fn flow_shows_all_its_requests() {
    let events = events("100.64.0.27:1110>198.18.0.1:8080");
    assert_eq!(
        events.iter().filter(|event| **event == "request").count(),
        2
    );
}

#[test]
fn unknown_id_finds_nothing() {
    assert!(events("ffff").is_empty());
}
