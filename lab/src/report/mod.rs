//! The report of a day: some lines of text, and a self-contained HTML page.
mod html;
mod membership;
mod page;
mod plot;
mod text;

use hallrelay_emulator::service::Outcome;
pub use page::page;
pub use text::text;

/// How the day was played.
fn played(outcome: &Outcome) -> &'static str {
    if outcome.way == "virtual" {
        "in virtual time (emulated)"
    } else {
        "on sockets (emulated)"
    }
}
