//! Narrow moments of fleets of few relays, played against the decision module in virtual time.
mod cold;
mod cold_busy;
mod cold_storm;
mod fleet;
mod refusals;
mod unheard;
