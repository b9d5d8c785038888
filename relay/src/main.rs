//! The `hallrelay` program.
use clap::Parser;
use hallrelay_relay::cli::{run, Cli};
use hallrelay_relay::net::signals;
use std::process::ExitCode;

fn main() -> ExitCode {
    // This comes first: otherwise a reload signal (SIGHUP) in the first milliseconds would end the process.
    signals::block();
    match run(Cli::parse().command) {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("hallrelay: {error}");
            ExitCode::FAILURE
        }
    }
}
