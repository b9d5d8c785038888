//! Load reports of servers: taken at intervals, and visible after a delay.
use super::*;
use hallrelay_balancer::types::LoadReport;

/// Load figures in a server's report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// Number of connections of sessions at the server.
    pub inflight: u32,
    /// Demand on the server divided by its capacity.
    pub load: f64,
    /// Time that new work waits before the server begins it, in seconds.
    pub queue_delay: f64,
}

impl LoadFigures {
    /// Converts the figures to a relay's load report.
    pub fn report(self) -> LoadReport {
        LoadReport {
            load: Some(self.load),
            queue_delay: Some(self.queue_delay),
            sessions: Some(f64::from(self.inflight)),
        }
    }
}

/// A load report, and when probes start to return it.
pub(super) struct PublishedReport {
    pub visible_at: Micros,
    pub figures: LoadFigures,
}

/// Draws a factor with mean 1 and the given standard deviation.
fn draw_noise(random: &mut Random, deviation: f64) -> f64 {
    (1.0 + deviation * random.normal()).max(0.0)
}

impl Servers {
    pub(super) fn take_report(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        self.advance(server, out);
        let now = self.now;
        let noise = self.scenario.servers.report_noise.0;
        let usual_delay = self.scenario.servers.report_late_ms.map(|ms| ms.us());
        let node = &mut self.nodes[server];
        let load = node.server.load(now) * node.report_factor;
        let queue_delay = node.server.queue_delay_s(now) * node.report_factor.min(1.0);
        let figures = LoadFigures {
            inflight: node.connections.len() as u32,
            load: load * draw_noise(&mut self.random, noise),
            queue_delay: queue_delay * draw_noise(&mut self.random, noise),
        };
        let visible_at = now + self.random.between(usual_delay) + node.report_delay;
        if node.server.state == ServerState::Up {
            node.reports.push_back(PublishedReport { visible_at, figures });
        }
        self.events.schedule(now + node.report_interval, Event::Report(server));
    }

    /// A server receives a probe, which is a relay's request for a load report. Returns the time of the
    /// answer and the last visible figures.
    pub fn answer_probe(
        &mut self,
        now: Micros,
        server: usize,
        relay: usize,
        out: &mut Vec<ServerEvent>,
    ) -> (Micros, LoadFigures) {
        self.now = self.now.max(now);
        let now = self.now;
        self.advance(server, out);
        self.counts.probes += 1;
        let work = self.scenario.servers.probe_ms.us() * CORE;
        let node = &mut self.nodes[server];
        let answered_at = node.server.completion_time(now, work);
        let is_overloaded = node.server.add_work(now, work, node.notified_of_start[relay]);
        while node.reports.len() > 1 && node.reports[1].visible_at <= now {
            node.reports.pop_front();
        }
        let figures = node.reports.front().map(|report| report.figures).unwrap_or_default();
        if is_overloaded {
            self.overloaded(server, out);
        }
        (answered_at, figures)
    }

    /// Sends the message delay of a server in milliseconds, on one open connection of each relay. Only sent
    /// if the delay exceeds a third of the lowest latency objective of all listeners.
    pub(super) fn send_delay(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        let objectives = self.scenario.listeners.iter().map(|listener| listener.message_target_ms.us());
        let lowest_objective = objectives.min().unwrap_or(0);
        let node = &self.nodes[server];
        let delay = node.server.message_delay(self.now);
        let is_up = node.server.state == ServerState::Up;
        if !self.scenario.servers.tells_delay || !is_up || delay <= lowest_objective / 3 {
            return;
        }
        let line = ServerLine::Load((delay as f64 / 1e3).round());
        let mut is_sent = vec![false; node.demand_by_relay.len()];
        for &id in &node.connections {
            let connection = &self.connections[&id];
            let relay = connection.relay;
            if connection.is_open
                && !std::mem::replace(&mut is_sent[relay], true)
                && self.can_send(server, relay)
            {
                out.push(ServerEvent::Line { connection: id, line });
            }
            if is_sent.iter().all(|is_sent| *is_sent) {
                break;
            }
        }
    }
}
