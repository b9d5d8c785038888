//! Simulations of fleets in critical situations, with the balancer in virtual time. A "short day" is
//! one such simulation; it covers less than a minute of virtual time.
mod cold;
mod cold_busy;
mod cold_storm;
mod fleet;
mod rejections;
mod without_probes;
