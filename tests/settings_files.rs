//! Validation of settings files.
//!
//! Each invalid file must be rejected with the path of the fault, so that an operator finds it.

use std::{fs, path::Path};

use berylvalve::config::{self, Check, daemon::DaemonSettings, site::Site, tree::Region};
use serde::{Deserialize, de::DeserializeOwned};

/// Invalid settings, and the error that they must be rejected with.
#[derive(Deserialize)]
struct Fixture {
    kind: String,
    expected: String,
    settings: serde_json::Value,
}

fn rejection<T: Check + DeserializeOwned>(text: &str) -> String {
    match config::parse::<T>(Path::new("FILE"), text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn invalid_settings_are_rejected_with_file_path_and_expectation() {
    let mut checked = 0;
    for entry in fs::read_dir("tests/bad_settings").unwrap() {
        let file = entry.unwrap().path();
        let fixture: Fixture = serde_json::from_str(&fs::read_to_string(&file).unwrap()).unwrap();
        let text = fixture.settings.to_string();
        let error = match fixture.kind.as_str() {
            "daemon" => rejection::<DaemonSettings>(&text),
            "site" => rejection::<Site>(&text),
            _ => rejection::<Region>(&text),
        };
        // Line and column refer to the single-line text here, not to the fixture.
        let error = error.split(" at line ").next().unwrap();
        assert_eq!(error, fixture.expected, "{}", file.display());
        checked += 1;
    }
    assert!(checked >= 6, "only {checked} fixtures");
}

#[test]
fn sites_of_the_repository_are_valid() {
    for site in ["haverkamp", "dolbom"] {
        let file = format!("sites/{site}.json");
        config::load::<Site>(Path::new(&file)).unwrap();
    }
}
