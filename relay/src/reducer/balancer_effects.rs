//! The balancer inside the reducer: steps the balancer, and maps its effects to those of the relay. The
//! balancer calls a health check a probe, and a backend a server.
use super::session::SessionStage;
use super::{Effect, Reducer, Timer};
use hallrelay_balancer::types::{self as balancer, DialEnd, Input, Micros};
use hallrelay_hot_restart::RelayUpdate;

impl Reducer {
    /// Steps the balancer with an input and carries out its effects.
    pub(super) fn step_balancer(&mut self, input: Input, out: &mut Vec<Effect>) {
        let mut effects = std::mem::take(&mut self.balancer_effects);
        self.balancer.step(self.now, input, &mut effects);
        effects.drain(..).for_each(|effect| self.apply_balancer_effect(effect, out));
        self.balancer_effects = effects;
    }

    /// Maps an effect of the balancer to the relay's own effects.
    fn apply_balancer_effect(&mut self, effect: balancer::Effect, out: &mut Vec<Effect>) {
        match effect {
            balancer::Effect::Dial { session: session_id, server, timeout, send_within } => {
                let Some(session) = self.sessions.get_mut(&session_id) else { return };
                let dial = session.dials;
                session.stage = SessionStage::Dialing;
                session.server = Some(server);
                session.dials += 1;
                if session.must_not_repeat && dial == 0 {
                    let id = session.client_session_id;
                    self.update_predecessor(RelayUpdate::Dialled(id), out);
                }
                if let Some(addr) = self.servers.get(&server).map(|server| server.instance.addr) {
                    self.record_slow_start_slot_use(server, session_id, out);
                    // `self.node` is this relay's configuration. The balancer sets `send_within` only if the
                    // session's idempotency key limits when the request may be sent.
                    let start_within =
                        self.node.limits.connect_timeout.min(send_within.unwrap_or(Micros::MAX));
                    return out.push(Effect::Dial {
                        session_id,
                        dial,
                        server: Some(server),
                        addr,
                        timeout,
                        start_within,
                    });
                }
                // The server is no longer known here, so nothing was sent.
                let end = DialEnd::Unconnected;
                self.step_balancer(
                    Input::DialEnded { session: session_id, dial, end, settled: false, report: None },
                    out,
                );
            }
            balancer::Effect::Reject { session: session_id, retry_after } => {
                self.send_final_answer(session_id, Effect::Reject { session_id, retry_after }, out);
            }
            balancer::Effect::TearDown { session: session_id } => {
                self.send_final_answer(session_id, Effect::TearDown { session_id }, out)
            }
            balancer::Effect::Migrate { session: session_id } => self.migrate_session(session_id, out),
            balancer::Effect::Probe { server } => {
                let Some(entry) = self.servers.get_mut(&server) else { return };
                entry.health_check_pending = true;
                out.push(Effect::HealthCheck { server, addr: entry.instance.addr });
            }
            balancer::Effect::SetTimer { after, label } => {
                out.push(Effect::StartTimer { after, timer: Timer::Balancer(label) });
            }
            balancer::Effect::WatchEndpoints => self.watch_endpoints(out),
        }
    }
}
