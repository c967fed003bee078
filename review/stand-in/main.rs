//! Plays one case: `case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod consumer;
mod http;
mod packet;
mod record;
mod server;
mod store;
mod world;

use std::{path::Path, process::exit, sync::Arc, thread, time::Duration};

use cases::Outcome;

/// Time after which a case is given up; its daemons end with it.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        exit(2);
    };
    let record = Arc::new(record::Record::new(Path::new(path)));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("not done in time");
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {name}, trouble {trouble}"));
    let outcome = match name.as_str() {
        "restart-twice" => cases::restart_twice(&record, trouble),
        "clock-back" => cases::clock_back(&record, trouble),
        "roll-quiet" => cases::roll_quiet(&record, trouble),
        "weights-many" => cases::weights_many(&record, trouble),
        "evacuation-overwritten" => cases::evacuation_overwritten(&record, trouble),
        _ => Outcome::Unable("unknown case".to_owned()),
    };
    let (code, lines) = match outcome {
        Outcome::Held => (0, vec!["the rule held".to_owned()]),
        Outcome::Broken(lines) => (
            1,
            lines.iter().map(|line| format!("BROKEN: {line}")).collect(),
        ),
        Outcome::Unable(reason) => (2, vec![format!("could not run: {reason}")]),
    };
    for line in lines {
        println!("{line}");
        record.say(&line);
    }
    exit(code);
}
