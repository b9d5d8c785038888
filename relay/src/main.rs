//! `hallrelay`: the command line.
use clap::Parser;
use hallrelay_relay::cli::{run, Line};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(Line::parse().what) {
        Ok(status) => ExitCode::from(status),
        Err(what) => {
            eprintln!("hallrelay: {what}");
            ExitCode::FAILURE
        }
    }
}
