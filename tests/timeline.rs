//! Decisions of many processes, counted by interval.

use std::time::Duration;

use berylvalve::timeline::{self, Options, Timeline, TimelineError};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

const BALANCER: &str = "\
 35.4 front time=2026-09-20T06:07:45.600000Z level=info event=flow_placed flow=a>b tries=1
time=2026-09-20T06:07:45.799999Z level=info event=agent_refused flow=a>b reason=busy
time=2026-09-20T06:07:45.800000Z level=info event=agent_refused flow=a>b reason=busy
no decision
";

const AGENT: &str = "\
time=2026-09-20T06:07:45.650000Z level=info event=request flow=a>b
time=2026-09-20T06:07:45.700000Z level=info event=request flow=c>d
time=2026-09-20T06:07:46.900000Z level=warn event=directive_refused reason=\"no domain\"
";

fn at(text: &str) -> OffsetDateTime {
    OffsetDateTime::parse(text, &Rfc3339).unwrap()
}

fn options() -> Options {
    Options {
        interval: Duration::from_millis(200),
        from: None,
        until: None,
    }
}

fn counted(options: Options) -> String {
    let mut timeline = Timeline::new(options);
    for log in [BALANCER, AGENT] {
        timeline.read(log.as_bytes()).unwrap();
    }
    timeline::text(&timeline.intervals())
}

#[test]
fn lines_of_all_logs_are_counted_by_event_and_reason_in_the_order_of_time() {
    let expected = "\
2026-09-20T06:07:45.6Z request=2 agent_refused:busy=1 flow_placed=1
2026-09-20T06:07:45.8Z agent_refused:busy=1
2026-09-20T06:07:46.8Z directive_refused:no=1
";
    assert_eq!(counted(options()), expected);
}

#[test]
fn only_lines_within_the_range_are_counted() {
    let options = Options {
        from: Some(at("2026-09-20T06:07:45.650Z")),
        until: Some(at("2026-09-20T06:07:45.8Z")),
        ..options()
    };
    let expected = "2026-09-20T06:07:45.6Z request=2 agent_refused:busy=1\n";
    assert_eq!(counted(options), expected);
}

/// The logs of a day must not fill the memory of the engineer's machine.
#[test]
fn memory_is_bounded_in_intervals_and_kinds() {
    let mut timeline = Timeline::new(options());
    for number in 0..2_000 {
        let line = format!("time=2026-09-20T06:07:45Z event=event_{number}\n");
        timeline.read(line.as_bytes()).unwrap();
    }
    let counts = &timeline.intervals()[0].counts;
    assert_eq!(counts.len(), 512);
    assert_eq!(counts.values().sum::<u64>(), 2_000);

    let mut result = Ok(());
    for second in 0..11_000 {
        let time = at("2026-09-20T06:07:45Z") + Duration::from_secs(second);
        let line = format!("time={} event=tick\n", time.format(&Rfc3339).unwrap());
        result = timeline.read(line.as_bytes());
        if result.is_err() {
            break;
        }
    }
    assert!(matches!(result, Err(TimelineError::TooLong)), "{result:?}");
}
