//! Finds all decisions about one request or flow in a heap of logs.
//!
//! Agents log a request's id with its flow, balancers the flow alone. So the flows of an id are looked
//! up first, and then all lines about them are put in the order of time.

use std::collections::BTreeSet;

/// Fields that name a flow or a caller.
const FLOW_FIELDS: [&str; 2] = ["flow", "caller"];

/// Fields that name a request.
const REQUEST_FIELDS: [&str; 1] = ["request"];

/// Returns the value of a field in a line of key=value pairs.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_ascii_whitespace()
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the lines about a request, a flow or a caller, in the order of time.
///
/// # Example
///
/// ```
/// let log = "time=2 event=request request=7f flow=a>b\ntime=1 event=flow_placed flow=a>b\n";
/// let lines = berylvalve::explain::explain(&[log], "7f");
/// assert_eq!(lines[0], "time=1 event=flow_placed flow=a>b");
/// ```
pub fn explain<'a>(logs: &[&'a str], subject: &str) -> Vec<&'a str> {
    let mut flows = BTreeSet::from([subject]);
    for line in logs.iter().flat_map(|log| log.lines()) {
        if names(line, &REQUEST_FIELDS, &BTreeSet::from([subject])) {
            flows.extend(FLOW_FIELDS.iter().filter_map(|name| field(line, name)));
        }
    }
    let mut found = Vec::new();
    for line in logs.iter().flat_map(|log| log.lines()) {
        let other_request = field(line, "request").is_some_and(|id| id != subject && id != "-");
        let asked_for_request = flows.len() > 1;
        if asked_for_request && other_request {
            continue;
        }
        if names(line, &FLOW_FIELDS, &flows) || names(line, &REQUEST_FIELDS, &flows) {
            found.push(line);
        }
    }
    found.sort_by_key(|line| field(line, "time").unwrap_or_default());
    found
}

fn names(line: &str, fields: &[&str], wanted: &BTreeSet<&str>) -> bool {
    let mut values = fields.iter().filter_map(|name| field(line, name));
    values.any(|value| wanted.contains(value))
}
