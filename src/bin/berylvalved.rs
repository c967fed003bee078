//! The daemon of a fleet.

use std::{path::PathBuf, process::ExitCode};

use berylvalve::{
    cli::{EXIT_FAILURE, EXIT_USAGE},
    config,
    daemon::Daemon,
    log,
};
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
berylvalved: a balancer or an agent of a berylvalve fleet

USAGE:
  berylvalved SETTINGS.json

The log goes to standard error; RUST_LOG sets its level (default: info).
SIGTERM and SIGINT stop the daemon gracefully.
";

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let file: PathBuf = match args.free_from_str() {
        Ok(file) => file,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    let _log = log::start("info");
    let settings = match config::load(&file) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    let daemon = match Daemon::start(&settings).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(EXIT_FAILURE, &error),
    };
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return fail(EXIT_FAILURE, &"signals can't be handled");
    };
    let code = tokio::select! {
        _ = terminate.recv() => ExitCode::SUCCESS,
        _ = interrupt.recv() => ExitCode::SUCCESS,
        () = daemon.drain_requested() => ExitCode::SUCCESS,
        () = daemon.kernel.task_failed() => ExitCode::from(EXIT_FAILURE),
    };
    daemon.shut_down().await;
    code
}

fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("berylvalved: {error}");
    ExitCode::from(code)
}
