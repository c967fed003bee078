//! What the tool prints.

use std::path::Path;

use serde::Serialize;

use crate::{caller::Reply, dev::fleet::Fleet, load::LoadReport, soak};

/// Broken promises that are printed; the report has all.
const SHOWN_BROKEN: usize = 10;

/// Returns the fields of a report as aligned lines.
pub fn lines<T: Serialize>(report: &T) -> String {
    let value = serde_json::to_value(report).unwrap_or_default();
    let mut text = String::new();
    for (name, value) in value.as_object().into_iter().flatten() {
        text.push_str(&format!("{name:<20}{value}\n"));
    }
    text
}

/// Returns a report as one JSON object in one line.
pub fn json_line<T: Serialize>(report: &T) -> String {
    serde_json::to_string(report).unwrap_or_default()
}

/// Returns one line that tells how a load goes.
pub fn load_progress(report: &LoadReport) -> String {
    format!(
        "sent {} answered {} refused {} unknown {} lost {} p99 {:.1} ms",
        report.sent, report.answered, report.refused, report.unknown, report.lost, report.p99_ms,
    )
}

/// Returns the result of a run of the soak, and what was broken first.
pub fn soak_report(report: &soak::Report, folder: &Path) -> String {
    let mut text = format!("{}\n", report.line());
    if let Some(views) = report.view_line() {
        text.push_str(&format!("  {views}\n"));
    }
    for broken in report.broken.iter().take(SHOWN_BROKEN) {
        text.push_str(&format!("  {broken}\n"));
    }
    if !report.broken.is_empty() {
        text.push_str(&format!("  logs and plot: {}\n", folder.display()));
    }
    text
}

/// Returns what callers saw in the last whole second, with the faults since the first `told`.
pub fn tour_progress(report: &soak::Report, told: usize) -> String {
    let mut text = String::new();
    for struck in &report.faults[told.min(report.faults.len())..] {
        text.push_str(&format!("       {}\n", struck.fault));
    }
    let count = report.seconds.len();
    if let Some(second) = count.checked_sub(2).and_then(|at| report.seconds.get(at)) {
        text.push_str(&format!(
            "{:>4} s  served {:<5} refused {:<5} given up {}\n",
            count - 1,
            second.served,
            second.refused,
            second.given_up,
        ));
    }
    text
}

/// Returns the result of a tour, and what can be looked at afterwards.
pub fn tour_report(report: &soak::Report, folder: &Path) -> String {
    let mut text = soak_report(report, folder);
    let folder = folder.display();
    text.push_str(&format!(
        "settings, logs and a plot: {folder}\n  \
         berylvalve check --kind node {folder}/agent-0.json\n  \
         grep -h event=request {folder}/agent-0.log | tail -1\n  \
         berylvalve explain REQUEST-ID {folder}/*.log\n"
    ));
    text
}

/// Returns where a site can be reached and how.
pub fn fleet_text(fleet: &Fleet) -> String {
    let mut text = String::new();
    for (name, service) in &fleet.tree.services {
        text.push_str(&format!("service {name} at {}\n", service.address));
        for request in service.requests.values() {
            let feed = if request.policy.feed == Some(true) {
                " --feed 5"
            } else {
                ""
            };
            text.push_str(&format!(
                "  berylvalve call --root {} --service {name}{feed} {} {} {}\n",
                fleet.certificate.certificate.display(),
                service.address,
                request.method,
                request.path,
            ));
        }
    }
    text.push_str(&format!(
        "fleet\n  berylvalve status --fleet {}\n",
        fleet.access_file().display()
    ));
    text.push_str(&format!(
        "  berylvalve load --root {} --seconds 10 {}\n",
        fleet.certificate.certificate.display(),
        fleet.site_file().display()
    ));
    text
}

/// Returns an answer's head for people.
pub fn reply_text(reply: &Reply) -> String {
    format!(
        "{} {} {} bytes from {}",
        reply.status,
        reply.outcome.as_str(),
        reply.body.len(),
        reply.server.as_deref().unwrap_or("-"),
    )
}
