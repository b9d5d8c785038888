//! `hallrelay-lab`: the command line.
mod command_line;
mod commands;

use clap::Parser;
use command_line::CommandLine;
use commands::Status;
use std::process::ExitCode;

/// A rule was broken or a relay crashed.
const EXIT_BROKEN: u8 = 1;
/// The command could not be carried out.
const EXIT_ERROR: u8 = 2;
/// The user interrupted the command.
const EXIT_INTERRUPTED: u8 = 130;

fn main() -> ExitCode {
    match commands::run(CommandLine::parse().command) {
        Ok(Status::Success) => ExitCode::SUCCESS,
        Ok(Status::Broken) => ExitCode::from(EXIT_BROKEN),
        Ok(Status::Interrupted) => ExitCode::from(EXIT_INTERRUPTED),
        Err(error) => {
            eprintln!("hallrelay-lab: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
