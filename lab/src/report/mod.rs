//! The report of a day: a summary as text, and a self-contained HTML page.
mod html;
mod membership;
mod page;
mod plot;
mod text;

use hallrelay_emulator::service::Outcome;
pub use page::page;
pub use text::text;

/// Describes how the day was played.
fn mode_description(outcome: &Outcome) -> &'static str {
    if outcome.mode == "virtual" {
        "in virtual time (emulated)"
    } else {
        "on sockets (emulated)"
    }
}
