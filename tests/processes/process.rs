//! Child processes of a test: started, read line by line, and ended by id.

use std::{path::Path, process::Stdio, time::Duration};

use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines},
    process::{Child, ChildStderr, ChildStdin, ChildStdout, Command},
    time::timeout,
};

const TOOL: &str = env!("CARGO_BIN_EXE_berylvalve");
const DAEMON: &str = env!("CARGO_BIN_EXE_berylvalved");
const PATIENCE: Duration = Duration::from_secs(20);
const EXIT_TIME: Duration = Duration::from_secs(2);

/// A running child process.
pub struct Process {
    child: Child,
    errors: Lines<BufReader<ChildStderr>>,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

/// What a command printed.
pub struct Finished {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

impl Process {
    /// Starts the tool.
    pub fn tool(args: &[&str]) -> Self {
        Self::start(Command::new(TOOL).args(args))
    }

    /// Starts a daemon with a settings file.
    pub fn daemon(settings: &Path) -> Self {
        Self::start(Command::new(DAEMON).arg(settings).env("RUST_LOG", "info"))
    }

    fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let errors = BufReader::new(child.stderr.take().unwrap()).lines();
        let output = BufReader::new(child.stdout.take().unwrap()).lines();
        let input = child.stdin.take().unwrap();
        Self {
            child,
            errors,
            input,
            output,
        }
    }

    /// Returns the rest of the next output line behind a word.
    pub async fn output_after(&mut self, word: &str) -> String {
        let line = timeout(PATIENCE, self.output.next_line()).await;
        let line = line.unwrap().unwrap().unwrap();
        line.strip_prefix(word).unwrap().trim().to_owned()
    }

    /// Returns the log line of the next event of a name.
    pub async fn event(&mut self, name: &str) -> String {
        let wanted = format!(" event={name} ");
        loop {
            let line = timeout(PATIENCE, self.errors.next_line()).await;
            let line = line.unwrap().unwrap().unwrap();
            if format!("{line} ").contains(&wanted) {
                return line;
            }
        }
    }

    /// Writes a line to the input.
    pub async fn send(&mut self, line: &str) {
        self.input
            .write_all(format!("{line}\n").as_bytes())
            .await
            .unwrap();
        self.input.flush().await.unwrap();
    }

    /// Sends the process a signal, by its id.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().unwrap().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.await.unwrap().success());
    }

    /// Returns whether the process has ended, after a moment in which it may end.
    pub async fn has_ended(&mut self) -> bool {
        timeout(EXIT_TIME, self.child.wait()).await.is_ok()
    }

    /// Asks the process to stop and returns its exit status.
    pub async fn terminate(&mut self) -> i32 {
        self.signal("TERM").await;
        let status = timeout(PATIENCE, self.child.wait()).await.unwrap();
        status.unwrap().code().unwrap_or(-1)
    }
}

/// Runs the tool to its end.
pub async fn run_tool(args: &[&str]) -> Finished {
    finish(Command::new(TOOL).args(args)).await
}

/// Runs a daemon that is expected to end by itself.
pub async fn run_daemon(settings: &Path) -> Finished {
    finish(Command::new(DAEMON).arg(settings)).await
}

async fn finish(command: &mut Command) -> Finished {
    let output = timeout(PATIENCE, command.kill_on_drop(true).output());
    let output = output.await.unwrap().unwrap();
    Finished {
        code: output.status.code().unwrap_or(-1),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}
