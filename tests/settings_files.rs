//! Settings files with the fault that each must be refused for.

use std::{fs, path::Path};

use berylvalve::config::{self, Check, daemon::DaemonSettings, site::Site, tree::Region};
use serde::{Deserialize, de::DeserializeOwned};

/// A fixture: settings, and the line that they must be refused with.
#[derive(Deserialize)]
struct Fixture {
    kind: String,
    expected: String,
    settings: serde_json::Value,
}

fn refusal<T: Check + DeserializeOwned>(text: &str) -> String {
    match config::parse::<T>(Path::new("FILE"), text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn bad_settings_are_refused_with_file_path_and_expectation() {
    let mut walked = 0;
    for entry in fs::read_dir("tests/bad_settings").unwrap() {
        let file = entry.unwrap().path();
        let fixture: Fixture = serde_json::from_str(&fs::read_to_string(&file).unwrap()).unwrap();
        let text = fixture.settings.to_string();
        let refused = match fixture.kind.as_str() {
            "daemon" => refusal::<DaemonSettings>(&text),
            "site" => refusal::<Site>(&text),
            _ => refusal::<Region>(&text),
        };
        // The place in the one-line text is of no use to a reader of the fixture.
        let refused = refused.split(" at line ").next().unwrap();
        assert_eq!(refused, fixture.expected, "{}", file.display());
        walked += 1;
    }
    assert!(walked >= 6, "only {walked} fixtures");
}

#[test]
fn the_sites_of_the_repository_are_accepted() {
    for site in ["haverkamp", "dolbom"] {
        let file = format!("sites/{site}.json");
        config::load::<Site>(Path::new(&file)).unwrap();
    }
}
