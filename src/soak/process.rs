//! The daemons as separate processes: started with a settings file, signalled by their id.

use std::{fs::File, io, path::Path, process::Stdio};

use berylvalve_platform_standin::FILE_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// A daemon's program, settings and log.
#[derive(Clone, Copy, Debug)]
pub struct Launch<'a> {
    /// The program.
    pub program: &'a Path,
    /// `balancer` or `agent`.
    pub role: &'a str,
    /// Settings file.
    pub settings: &'a Path,
    /// File to which the log is appended.
    pub log: &'a Path,
}

/// Starts a daemon; it is killed when the returned child is dropped.
///
/// # Errors
///
/// Fails if the log can't be opened or the program can't be started.
pub fn start(launch: &Launch<'_>) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(launch.log)?;
    let errors = log.try_clone()?;
    Command::new(launch.program)
        .arg(launch.role)
        .env_clear()
        .env(FILE_VARIABLE, launch.settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .kill_on_drop(true)
        .spawn()
}

/// Sends a signal to a process that the soak has started and that has not been waited for.
///
/// # Errors
///
/// Fails if the process is gone.
pub fn signal(id: u32, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(id).ok().and_then(Pid::from_raw);
    let id = id.ok_or(io::ErrorKind::InvalidInput)?;
    kill_process(id, signal).map_err(io::Error::from)
}
