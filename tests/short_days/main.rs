//! Narrow moments of fleets of few relays, played against the decision module in virtual time.
mod cold;
mod fleet;
mod refusals;
mod unheard;
