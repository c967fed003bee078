//! The operators' tool.

use std::process::ExitCode;

use berylvalve::{cli, log};

#[tokio::main]
async fn main() -> ExitCode {
    let _log = log::start("warn");
    match cli::parse(pico_args::Arguments::from_env()) {
        Ok(command) => cli::run::run(command).await,
        Err(error) => {
            eprintln!("berylvalve: {error}");
            ExitCode::from(cli::EXIT_USAGE)
        }
    }
}
