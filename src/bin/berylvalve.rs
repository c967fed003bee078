//! The operators' tool.

use std::process::ExitCode;

use berylvalve::cli;
use tracing_subscriber::EnvFilter;

#[tokio::main]
async fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    match cli::parse(pico_args::Arguments::from_env()) {
        Ok(command) => cli::run::run(command).await,
        Err(error) => {
            eprintln!("berylvalve: {error}");
            ExitCode::from(cli::EXIT_USAGE)
        }
    }
}
