//! Carries out the effects of a relay's reducer, as the relay's tasks would.
use super::events::QueuedEvent;
use super::state::{server_at, ProcessId};
use super::VirtualDay;
use hallrelay_balancer::types::{DialEnd, Micros, ServerId};
use hallrelay_emulator::clients::ClientEvent;
use hallrelay_emulator::day::DriverActions;
use hallrelay_emulator::servers::Reachability;
use hallrelay_recovery::Record;
use hallrelay_relay::reducer::{Effect, Event};

/// Time for syncing a write to disk.
const SYNC_TIME: Micros = 2_000;

impl VirtualDay<'_> {
    /// Carries out all effects of one step in order.
    pub(super) fn carry_out(&mut self, relay: usize, effects: Vec<Effect>) {
        // Determined before the loop, because one of the effects may end the process that produced them.
        let process = self.process_id(relay);
        for effect in effects {
            self.carry_out_one(process, effect);
        }
    }

    fn carry_out_one(&mut self, process: ProcessId, effect: Effect) {
        let relay = process.relay;
        match effect {
            Effect::StartTimer { after, timer } => {
                self.schedule_after(after, QueuedEvent::Timer { process, timer });
            }
            Effect::Dial { session_id, dial, addr, timeout, .. } => {
                self.dial(relay, session_id, dial, addr, timeout);
            }
            Effect::StartProxying { session_id } => self.start_proxying(relay, session_id),
            Effect::Reject { session_id, retry_after } => {
                self.send_final_answer(relay, session_id, ClientEvent::Rejected(retry_after));
            }
            Effect::TearDown { session_id } | Effect::ReportProtocolError { connection_id: session_id } => {
                self.send_final_answer(relay, session_id, ClientEvent::Failed);
            }
            Effect::ShedConnection { connection_id } => {
                self.send_final_answer(relay, connection_id, ClientEvent::Rejected(0));
            }
            Effect::CloseClient { session_id } => {
                self.send_final_answer(relay, session_id, ClientEvent::Closed);
            }
            Effect::Migrate { session_id } => self.migrate(relay, session_id),
            Effect::SetSuspect { session_id, suspect } => self.set_suspect(relay, session_id, suspect),
            Effect::HealthCheck { server, addr } => {
                let (index, sent_at) = (server_at(addr), self.now);
                let check = QueuedEvent::HealthCheck { process, server, index, sent_at };
                self.schedule_after(self.server_latency(), check);
            }
            Effect::WatchEndpoints { watch, since, .. } => self.open_watch(process, watch, since),
            Effect::StopWatch { watch } => self.relays[relay].watches.retain(|w| w.id != watch),
            Effect::Exit => self.process_exits(relay),
            Effect::Reply { call, reply } => self.operator_reply(relay, call, &reply),
            Effect::Membership(effect) => self.carry_out_membership(relay, effect),
            Effect::Persist { record, .. } => self.persist(relay, record),
            Effect::PersistVoterWrites { voter_start, number, records } => {
                self.persist_voter_writes(relay, voter_start, number, records);
            }
            // These concern sockets without sessions, logs and metrics.
            Effect::Pong { .. }
            | Effect::RejectPing { .. }
            | Effect::ForgetServer { .. }
            | Effect::RestartRequired { .. }
            | Effect::ApplyTuning { .. }
            | Effect::SetAccepting { .. }
            | Effect::SetDraining { .. }
            | Effect::Log { .. } => {}
            // These concern hot restarts, which are not simulated: no other process uses the store.
            Effect::SetStoreOwnership { .. }
            | Effect::SetTakeoverListener { .. }
            | Effect::SendToProcess { .. }
            | Effect::DisconnectProcess { .. }
            | Effect::HandOverSession { .. }
            | Effect::Abort { .. } => {}
        }
    }

    fn persist_voter_writes(&mut self, relay: usize, voter_start: u32, number: u64, records: Vec<Record>) {
        for record in records {
            self.persist(relay, record);
        }
        self.notify_after(SYNC_TIME, relay, Event::VoterWritesDurable { voter_start, number });
    }

    /// A health check (a probe for a load report) arrives at a server. The relay receives the result, or the
    /// check times out.
    pub(super) fn check_health(
        &mut self,
        relay: usize,
        server: ServerId,
        index: usize,
        sent_at: Micros,
        todo: &mut DriverActions,
    ) {
        let latency = self.server_latency();
        let deadline = sent_at + self.relays[relay].limits.probe_timeout;
        let (after, end, report) = match self.day.servers.reachability(index, relay) {
            Reachability::Refused => (latency, DialEnd::Unconnected, None),
            Reachability::Unresponsive => (deadline.saturating_sub(self.now), DialEnd::Timeout, None),
            Reachability::Open => {
                let (done_at, figures) =
                    self.day.servers.answer_probe(self.now, index, relay, &mut todo.server_events);
                if done_at + latency > deadline {
                    (deadline.saturating_sub(self.now), DialEnd::Timeout, None)
                } else {
                    (done_at + latency - self.now, DialEnd::Ok, Some(figures.report()))
                }
            }
        };
        self.notify_after(after, relay, Event::HealthCheckEnded { server, end, report });
    }
}
