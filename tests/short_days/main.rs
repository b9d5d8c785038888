//! Simulations of small fleets in short critical situations, with the balancer in virtual time.
mod cold;
mod cold_busy;
mod cold_storm;
mod fleet;
mod rejections;
mod without_probes;
