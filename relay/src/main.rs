//! `hallrelay`: the command line.
use clap::Parser;
use hallrelay_relay::cli::{run, Line};
use hallrelay_relay::net::signals;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Guards a reload in the first milliseconds of a start, which would end the program: before all else.
    signals::block();
    match run(Line::parse().what) {
        Ok(status) => ExitCode::from(status),
        Err(what) => {
            eprintln!("hallrelay: {what}");
            ExitCode::FAILURE
        }
    }
}
