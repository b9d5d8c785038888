//! Narrow moments of fleets of few relays, played against the decision module in virtual time.
mod cold;
mod cold_busy;
mod fleet;
mod refusals;
mod unheard;
