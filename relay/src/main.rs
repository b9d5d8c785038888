//! `hallrelay`: the command line.
use clap::Parser;
use hallrelay_relay::cli::{run, Cli};
use hallrelay_relay::net::signals;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Before all else: a reload in the first milliseconds would end the process.
    signals::block();
    match run(Cli::parse().command) {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("hallrelay: {error}");
            ExitCode::FAILURE
        }
    }
}
