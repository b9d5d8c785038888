//! Arrivals of clients, and their lifetimes.
use super::{mix, Client, ClientAction, ClientState, Clients, Event};
use hallrelay_balancer::types::Micros;

/// Length of the intervals for which arrivals are drawn. The rate at the start of an interval applies to all
/// of it.
const RATE_REVIEW_INTERVAL: Micros = 100_000;
/// Lower bound of the arrival rate per second, to avoid a division by zero.
const MIN_RATE: f64 = 1e-9;
/// Minimum lifetime of a client.
const MIN_LIFETIME: Micros = 200_000;
/// Time that a client waits after its lifetime for the server to end the session, before it leaves itself.
const MAX_BYE_DELAY: Micros = 1_000_000;

impl Clients {
    /// Opens the sessions that exist before the day begins, spread over relays and servers.
    pub fn open_pre_existing(&mut self, now: Micros, server_count: usize, out: &mut Vec<ClientAction>) {
        self.now = now;
        let relay_count = self.scenario.relays.count;
        for index in 0..self.scenario.load.standing {
            let id = self.add_client(self.begin);
            // The front does not wait until the relay answers `PING`: the sessions were open before.
            let relay = index % relay_count;
            self.front.set_serving(relay);
            let client = self.clients.get_mut(&id).expect("the client was just added");
            client.pre_existing_at = Some(index % server_count.max(1));
            self.request(id, Some(relay), out);
        }
    }

    /// Draws the arrivals until the next review of the rate.
    pub(super) fn draw_arrivals(&mut self) {
        let until = self.now + RATE_REVIEW_INTERVAL;
        let mean_interval = 1e6 / self.arrival_rate(self.now).max(MIN_RATE);
        let mut at = self.now + self.random.exponential(mean_interval) as Micros;
        while at < until {
            self.events.schedule(at, Event::Arrival);
            at += (self.random.exponential(mean_interval) as Micros).max(1);
        }
        if until < self.end {
            self.events.schedule(until, Event::RateReview);
        }
    }

    /// Arrivals per second.
    fn arrival_rate(&self, now: Micros) -> f64 {
        let load = &self.scenario.load;
        let since_begin = now - self.begin;
        let step = load.steps.iter().rfind(|step| step.at_s.us() <= since_begin);
        let step_factor = step.map_or(1.0, |step| step.times.0);
        let phase = since_begin as f64 / load.wave_s.us().max(1) as f64 * std::f64::consts::TAU;
        load.rate.0 * step_factor * self.arrival_factor * (1.0 + load.wave.0 * phase.sin())
    }

    /// Sets the arrival rate to a multiple of the scenario's rate.
    pub fn set_arrival_factor(&mut self, factor: f64) {
        self.arrival_factor = factor;
    }

    fn draw_listener(&mut self) -> usize {
        let listeners = &self.scenario.listeners;
        let total: f64 = listeners.iter().map(|listener| listener.share.0).sum();
        let mut rest = self.random.fraction() * total;
        let drawn = listeners.iter().position(|listener| {
            rest -= listener.share.0;
            rest < 0.0
        });
        drawn.unwrap_or(listeners.len() - 1)
    }

    /// Draws a new client that waits to send its first request. Returns its number.
    pub(super) fn add_client(&mut self, now: Micros) -> u64 {
        self.last_number += 1;
        let id = self.last_number;
        let listener = self.draw_listener();
        let mean_lifetime = self.scenario.listeners[listener].life_s.us() as f64;
        let lifetime = self.random.exponential(mean_lifetime) as Micros;
        let until = now + lifetime.max(MIN_LIFETIME);
        // The key and the group are odd, since 0 means none.
        let key = self.random.bits() | 1;
        let group_draw = self.random.bits();
        let group_count = self.scenario.load.groups;
        let group = if group_count == 0 { 0 } else { mix(group_draw % group_count + 1) | 1 };
        let is_ended_by_server = self.random.fraction() < self.scenario.clients.bye.0;
        let client = Client {
            listener,
            key,
            group,
            until,
            is_ended_by_server,
            state: ClientState::Waiting,
            retries_left: self.scenario.clients.retries,
            has_returned: false,
            relay_misses: 0,
            first_request_at: now,
            pre_existing_at: None,
        };
        self.clients.insert(id, client);
        self.wanted[listener] += 1;
        self.counts[listener].first_attempts += 1;
        self.waiting += 1;
        self.events.schedule(until, Event::LifetimeEnd { client: id });
        id
    }

    /// Ends a client's lifetime. If the server is to end its session, the client first waits for that.
    pub(super) fn end_lifetime(&mut self, id: u64, out: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.get(&id) else { return };
        let latest_end = client.until + MAX_BYE_DELAY;
        let is_open = matches!(client.state, ClientState::Open { .. });
        if self.now == client.until {
            self.wanted[client.listener] -= 1;
        }
        if client.is_ended_by_server && is_open && self.now < latest_end {
            return self.events.schedule(latest_end, Event::LifetimeEnd { client: id });
        }
        if let Some(mark) = client.state.mark() {
            self.by_mark.remove(&mark);
            out.push(ClientAction::Leave { mark });
        }
        self.remove(id);
    }
}
