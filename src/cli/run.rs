//! Runs the commands of the tool.

use std::{
    fs::File,
    io::{BufReader, IsTerminal, stderr},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use rustls::pki_types::CertificateDer;
use tokio::time::Instant;

use super::{
    CallOptions, Command, DevOptions, EXIT_FAILURE, EXIT_USAGE, FileKind, LoadCommand, SoakOptions,
    TourOptions,
    fleet::{self, FleetError},
    help, print, settings, stand_in,
};
use crate::{
    agent::reply::Outcome,
    caller::{Call, Caller},
    config::{self, daemon::DaemonSettings, site::Site, tree::Region},
    dev::{self, DevError, RunOptions},
    explain,
    load::{self, LoadReport},
    soak::{self, Size, seeds::failed_seeds},
    timeline::{self, Timeline, TimelineError},
    trial,
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a command and returns the exit status.
pub async fn run(command: Command) -> ExitCode {
    match command {
        Command::Help(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Command::Dev(options) => run_dev(options).await.unwrap_or_else(dev_failure),
        Command::Tour(options) => match run_tour(options).await {
            Ok(code) => code,
            Err(message) => failure(&message),
        },
        Command::Completions(shell) => run_completions(&shell),
        Command::Status { fleet, json } => finish(fleet::status(&fleet, json).await),
        Command::Drain { fleet, daemon } => finish(fleet::drain(&fleet, daemon).await),
        Command::Explain {
            fleet,
            subject,
            json,
        } => finish(fleet::explain(&fleet, &subject, json).await),
        Command::ExplainLogs { subject, logs } => run_explain(&subject, &logs),
        Command::Timeline {
            options,
            json,
            logs,
        } => run_timeline(options, json, &logs),
        Command::Settings(options) => run_settings(&options).await,
        Command::Load(options) => match run_load(&options).await {
            Ok(code) => code,
            Err(message) => failure(&message),
        },
        Command::Check(kind, file) => run_check(kind, &file),
        Command::StandIn(stand_in) => match stand_in::run(stand_in).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => failure(&message),
        },
        Command::Soak(options) => match run_soak(options).await {
            Ok(code) => code,
            Err(message) => failure(&message),
        },
        Command::Trial(name, seed) => run_trial(name.as_deref(), seed),
        Command::Call(options) => match run_call(options).await {
            Ok(code) => code,
            Err(message) => failure(&message),
        },
    }
}

fn finish(result: Result<String, FleetError>) -> ExitCode {
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error @ FleetError::Settings { .. }) => {
            eprintln!("berylvalve: {error}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(error) => failure(&error.to_string()),
    }
}

async fn run_settings(options: &settings::Options) -> ExitCode {
    match settings::run(options).await {
        Ok(printed) => {
            print!("{}", printed.text);
            ExitCode::from(printed.status)
        }
        Err(error) => {
            eprintln!("berylvalve: {error}");
            ExitCode::from(if error.is_usage() {
                EXIT_USAGE
            } else {
                EXIT_FAILURE
            })
        }
    }
}

fn run_completions(shell: &str) -> ExitCode {
    let Some(text) = help::completions(shell) else {
        eprintln!("berylvalve: no completions for {shell}; there are bash and fish");
        return ExitCode::from(EXIT_USAGE);
    };
    print!("{text}");
    ExitCode::SUCCESS
}

fn failure(message: &str) -> ExitCode {
    eprintln!("berylvalve: {message}");
    ExitCode::from(EXIT_FAILURE)
}

fn dev_failure(error: DevError) -> ExitCode {
    eprintln!("berylvalve: {error}");
    let usage = matches!(
        error,
        DevError::Settings { .. } | DevError::UnknownSite { .. }
    );
    ExitCode::from(if usage { EXIT_USAGE } else { EXIT_FAILURE })
}

fn run_check(kind: FileKind, file: &Path) -> ExitCode {
    let checked = match kind {
        FileKind::Daemon => config::load::<DaemonSettings>(file).map(|_| ()),
        FileKind::Node => return report_check(file, berylvalve_platform::settings::check(file)),
        FileKind::Site => config::load::<Site>(file).map(|_| ()),
        FileKind::Tree => config::load::<Region>(file).map(|_| ()),
    };
    report_check(file, checked)
}

fn report_check<E: std::fmt::Display>(file: &Path, checked: Result<(), E>) -> ExitCode {
    match checked {
        Ok(()) => {
            println!("{}: accepted", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("berylvalve: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run_explain(subject: &str, files: &[PathBuf]) -> ExitCode {
    let mut logs = Vec::with_capacity(files.len());
    for file in files {
        match std::fs::read_to_string(file) {
            Ok(log) => logs.push(log),
            Err(error) => return failure(&format!("{}: {error}", file.display())),
        }
    }
    let logs: Vec<&str> = logs.iter().map(String::as_str).collect();
    let lines = explain::explain(&logs, subject);
    for line in &lines {
        println!("{line}");
    }
    match lines.is_empty() {
        true => failure(&format!("no line about {subject}")),
        false => ExitCode::SUCCESS,
    }
}

fn run_timeline(options: timeline::Options, json: bool, files: &[PathBuf]) -> ExitCode {
    let mut timeline = Timeline::new(options);
    for file in files {
        let log = File::open(file).map_err(TimelineError::from);
        let read = log.and_then(|log| timeline.read(BufReader::new(log)));
        if let Err(error) = read {
            return failure(&format!("{}: {error}", file.display()));
        }
    }
    let intervals = timeline.intervals();
    match json {
        true => println!("{}", serde_json::json!(intervals)),
        false => print!("{}", timeline::text(&intervals)),
    }
    match intervals.is_empty() {
        true => failure("no line with a time and an event"),
        false => ExitCode::SUCCESS,
    }
}

fn run_trial(name: Option<&str>, seed: u64) -> ExitCode {
    let Some(name) = name else {
        for trial in trial::TRIALS {
            println!("{:<12} {}", trial.name, trial.about);
        }
        return ExitCode::SUCCESS;
    };
    let Some(trial) = trial::find(name) else {
        eprintln!("berylvalve: no trial named {name}; 'berylvalve trial' lists them");
        return ExitCode::from(EXIT_USAGE);
    };
    println!("{}", (trial.run)(seed));
    ExitCode::SUCCESS
}

async fn run_dev(options: DevOptions) -> Result<ExitCode, DevError> {
    let site = dev::site(&options.site)?;
    let Some(time) = options.time else {
        let fleet = dev::start(&site, options.seed).await?;
        print!("{}", print::fleet_text(&fleet));
        println!("serving until interrupted");
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            () = fleet.watch_health() => {}
        }
        fleet.stop().await;
        return Ok(ExitCode::SUCCESS);
    };
    let run_options = RunOptions {
        time,
        faults: options.faults,
        seed: options.seed,
        load: options.load,
    };
    let shows = !options.json && stderr().is_terminal();
    let progress = shows.then(|| tokio::spawn(show_time(time)));
    let report = dev::run(&site, run_options).await?;
    if let Some(progress) = progress {
        progress.abort();
        eprintln!();
    }
    if options.json {
        println!("{}", print::json_line(&report));
    } else {
        print!("{}", print::lines(&report));
    }
    Ok(if report.kept() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILURE)
    })
}

/// Shows on a terminal how much of a measured run has passed.
async fn show_time(total: Duration) {
    let start = Instant::now();
    loop {
        let passed = start.elapsed().min(total);
        eprint!("\r{} of {} s", passed.as_secs(), total.as_secs());
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

async fn run_call(options: CallOptions) -> Result<ExitCode, String> {
    let roots =
        read_roots(&options.root).map_err(|e| format!("{}: {e}", options.root.display()))?;
    let caller =
        Caller::new(options.address, &options.service, &roots).map_err(|e| e.to_string())?;
    let caller = Arc::new(caller);
    if let Some(events) = options.feed {
        let mut feed = caller
            .feed(&options.path, None)
            .await
            .map_err(|e| e.to_string())?;
        for _ in 0..events {
            let event = feed.next().await.ok_or("the feed ended")?;
            println!("{} {}", event.id, event.data);
        }
        caller.close().await;
        return Ok(ExitCode::SUCCESS);
    }
    let call = Call {
        idempotent: matches!(options.method.as_str(), "GET" | "HEAD"),
        method: options.method,
        path: options.path,
        id: options.id.unwrap_or_else(random_id),
        body: Bytes::from(options.body),
        deadline: Instant::now() + options.timeout,
    };
    let reply = caller
        .call(&call)
        .await
        .ok_or("no answer before the deadline")?;
    println!("{}", print::reply_text(&reply));
    caller.close().await;
    let answered = reply.outcome == Outcome::Answered;
    Ok(if answered {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILURE)
    })
}

async fn run_load(options: &LoadCommand) -> Result<ExitCode, String> {
    let site: Site = match config::load(&options.site) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("berylvalve: {error}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let roots = read_roots(&options.root);
    let roots = roots.map_err(|e| format!("{}: {e}", options.root.display()))?;
    let shows = !options.json && stderr().is_terminal();
    let progress = |report: &LoadReport| {
        if shows {
            eprint!("\r{}", print::load_progress(report));
        }
    };
    let report = load::run(&site, &roots, options.load, progress).await;
    let report = report.map_err(|e| e.to_string())?;
    if shows {
        eprintln!();
    }
    match options.json {
        true => println!("{}", print::json_line(&report)),
        false => print!("{}", print::lines(&report)),
    }
    let whole = report.lost == 0 && report.broken_flows == 0;
    Ok(if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILURE)
    })
}

async fn run_tour(options: TourOptions) -> Result<ExitCode, String> {
    let mut told = 0;
    let progress = |report: &soak::Report| {
        if !options.json {
            print!("{}", print::tour_progress(report, told));
        }
        told = report.faults.len();
    };
    let report = soak::run(&options.run, progress).await;
    let report = report.map_err(|error| error.to_string())?;
    match options.json {
        true => println!("{}", print::json_line(&report)),
        false => print!("{}", print::tour_report(&report, &options.run.folder)),
    }
    Ok(match report.broken.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAILURE),
    })
}

async fn run_soak(options: SoakOptions) -> Result<ExitCode, String> {
    let shows = !options.json && stderr().is_terminal();
    let mut whole = true;
    let first = &options.first;
    let cases: Vec<(u64, soak::Plan, Size)> = match options.failed {
        true => failed_seeds(options.large)
            .map(|failed| (failed.seed, failed.plan, failed.size))
            .collect(),
        false => (first.seed..first.seed + options.runs)
            .map(|seed| (seed, first.plan, first.size))
            .collect(),
    };
    for (seed, plan, size) in cases {
        let mut next = first.clone();
        (next.seed, next.plan, next.size) = (seed, plan, size);
        next.folder = next.folder.join(format!("seed-{}", next.seed));
        let progress = |report: &soak::Report| {
            if shows {
                eprint!("\r{}", report.line());
            }
        };
        let report = soak::run(&next, progress).await;
        let report = report.map_err(|error| error.to_string())?;
        if shows {
            eprintln!();
        }
        whole &= report.broken.is_empty();
        match options.json {
            true => println!("{}", print::json_line(&report)),
            false => print!("{}", print::soak_report(&report, &next.folder)),
        }
    }
    Ok(if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILURE)
    })
}

fn random_id() -> String {
    format!("call-{:08x}", rand::random::<u32>())
}

fn read_roots(file: &Path) -> std::io::Result<Vec<CertificateDer<'static>>> {
    rustls_pemfile::certs(&mut BufReader::new(File::open(file)?)).collect()
}
