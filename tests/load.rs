//! A site's mix against a running fleet.

use std::time::Duration;

use berylvalve::{
    cli::{self, Command},
    config,
    dev::{self, fleet::Fleet},
    load::{self, LoadOptions},
};
use pico_args::Arguments;

#[tokio::test(flavor = "multi_thread")]
async fn a_load_is_answered_whole_and_reported_as_it_goes() {
    let site = dev::site("haverkamp").unwrap();
    let fleet = Fleet::start(&site, 1).await.unwrap();
    let bound = config::load(&fleet.site_file()).unwrap();
    let roots = [fleet.certificate.root.clone()];
    let options = LoadOptions {
        time: Duration::from_secs(3),
        rate: 0.5,
        seed: 1,
    };
    let mut shown = Vec::new();
    let report = load::run(&bound, &roots, options, |r| shown.push(r.sent))
        .await
        .unwrap();
    fleet.stop().await;
    assert!(shown.len() >= 3 && shown.is_sorted(), "{shown:?}");
    // 90 requests a second in the mix, half of them for 3 seconds, as a Poisson process.
    assert!((80..200).contains(&report.sent), "{report:?}");
    assert_eq!(report.answered + report.refused, report.sent, "{report:?}");
    assert_eq!((report.flows, report.broken_flows), (60, 0), "{report:?}");
}

fn parse(words: &[&str]) -> Result<Command, String> {
    let words = words.iter().map(Into::into).collect();
    cli::parse(Arguments::from_vec(words)).map_err(|error| error.to_string())
}

#[test]
fn numbers_that_make_no_load_are_refused() {
    for seconds in ["-1", "0", "NaN", "inf", "1e300", "soon"] {
        let load = parse(&["load", "--root", "r", "--seconds", seconds, "s"]);
        assert!(load.is_err(), "{seconds}");
        assert!(parse(&["dev", "--seconds", seconds]).is_err(), "{seconds}");
    }
    for rate in ["-1", "0", "NaN"] {
        assert!(
            parse(&["dev", "--seconds", "1", "--load", rate]).is_err(),
            "{rate}"
        );
    }
    assert!(parse(&["dev", "--seconds", "1.5", "--load", "0.9"]).is_ok());
}
