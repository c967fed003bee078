//! Compares the committed JSON schemas with the types that settings are parsed into.
//!
//! A key that is added or renamed in only one of the two makes valid settings fail one check.

use std::{collections::BTreeSet, fs};

use berylvalve::config::{
    daemon::{AgentSettings, BalancerSettings, DaemonSettings, KeySettings, StoreSettings},
    fleet::FleetSettings,
    tree::{Policy, Region, RequestSettings, ServiceSettings},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

type Keys = BTreeSet<String>;

/// Returns the keys that a type accepts, taken from its error about an unknown key.
fn known_keys<T: DeserializeOwned>() -> Keys {
    let error = serde_json::from_str::<T>(r#"{"?": 0}"#).err().unwrap();
    let error = error.to_string();
    assert!(error.starts_with("unknown field `?`, expected"), "{error}");
    let names = error.split('`').skip(1).step_by(2).skip(1);
    names.map(str::to_owned).collect()
}

/// Returns the keys that a type can't be parsed without.
fn required_keys<T: DeserializeOwned>(schema: &Value) -> Keys {
    let mut required = Keys::new();
    for name in known_keys::<T>() {
        let listed = schema["required"].as_array().unwrap();
        let mut whole = example(schema, listed);
        whole.as_object_mut().unwrap().remove(&name);
        let missing = format!("missing field `{name}`");
        let error = serde_json::from_value::<T>(whole).err();
        if error.is_some_and(|error| error.to_string().starts_with(&missing)) {
            required.insert(name);
        }
    }
    required
}

/// Returns an object with a value of the right type for each listed key.
fn example(schema: &Value, listed: &[Value]) -> Value {
    let mut example = serde_json::Map::new();
    for name in listed {
        let name = name.as_str().unwrap();
        let value = match (name, schema["properties"][name]["type"].as_str()) {
            ("tree", _) => serde_json::json!({"region": "r", "services": {}}),
            ("role", _) => "agent".into(),
            (_, Some("integer")) => 1.into(),
            (_, Some("array")) => Value::Array(Vec::new()),
            (_, Some("object")) => Value::Object(serde_json::Map::new()),
            _ => "127.0.0.1:1".into(),
        };
        example.insert(name.to_owned(), value);
    }
    Value::Object(example)
}

fn keys(list: &Value) -> Keys {
    let names = list.as_array().unwrap().iter();
    names
        .map(|name| name.as_str().unwrap().to_owned())
        .collect()
}

fn compare<T: DeserializeOwned>(file: &str, name: &str) {
    let text = fs::read_to_string(format!("docs/schema/{file}.json")).unwrap();
    let whole: Value = serde_json::from_str(&text).unwrap();
    let schema = &whole["$defs"][name];
    let written: Keys = schema["properties"]
        .as_object()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    assert_eq!(written, known_keys::<T>(), "keys of {name} in {file}.json");
    assert_eq!(
        keys(&schema["required"]),
        required_keys::<T>(schema),
        "required keys of {name}"
    );
    assert_eq!(
        schema["additionalProperties"], false,
        "{name} in {file}.json"
    );
}

#[test]
fn schemas_list_the_keys_that_the_types_accept() {
    for file in ["daemon", "tree"] {
        compare::<Policy>(file, "Policy");
        compare::<Region>(file, "Region");
        compare::<RequestSettings>(file, "RequestSettings");
        compare::<ServiceSettings>(file, "ServiceSettings");
    }
    for file in ["daemon", "fleet"] {
        compare::<KeySettings>(file, "KeySettings");
        compare::<StoreSettings>(file, "StoreSettings");
    }
    compare::<AgentSettings>("daemon", "AgentSettings");
    compare::<BalancerSettings>("daemon", "BalancerSettings");
    compare::<DaemonSettings>("daemon", "DaemonSettings");
    compare::<FleetSettings>("fleet", "FleetSettings");
}
