//! Memory of open flows: callers and agents together, in one process.

use std::{sync::Arc, thread, time::Duration};

use serde_json::{Value, json};
use tokio::runtime::Builder;

use super::resident_bytes;
use crate::{
    caller::Caller,
    dev::{self, fleet::Fleet},
};

/// Feeds open after each step.
const STEPS: [usize; 4] = [100, 500, 1000, 1500];
const SETTLE_TIME: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const SERVICE: &str = "wind";
const PATH: &str = "/gusts";

/// Runs the measurement.
pub fn run(seed: u64) -> Value {
    let work = thread::spawn(move || {
        let runtime = Builder::new_multi_thread()
            .enable_all()
            .build()
            .expect("runtime");
        runtime.block_on(measure(seed))
    });
    work.join().expect("measurement ends")
}

async fn measure(seed: u64) -> Value {
    let site = dev::site("haverkamp").expect("site of the repository");
    let fleet = Fleet::start(&site, seed).await.expect("fleet starts");
    let target = fleet.address(SERVICE).expect("service of the site");
    let roots = [fleet.certificate.root.clone()];
    let first = Caller::new(target, SERVICE, &roots).expect("caller starts");
    let mut feeds = Vec::new();
    let mut steps = Vec::new();
    for step in STEPS {
        while feeds.len() < step {
            let caller = Arc::new(first.fresh());
            match caller.feed(PATH, None).await {
                Ok(feed) => feeds.push(feed),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        tokio::time::sleep(SETTLE_TIME).await;
        steps.push((feeds.len() as u64, resident_bytes()));
    }
    drop(feeds);
    fleet.stop().await;
    let (fewest, most) = (steps[0], steps[STEPS.len() - 1]);
    json!({
        "steps": steps.iter().map(|(f, b)| json!({"flows": f, "resident_bytes": b})).collect::<Vec<_>>(),
        "bytes_per_flow_both_ends": (most.1.saturating_sub(fewest.1)) / (most.0 - fewest.0),
    })
}
