//! Requests of clients, and their reactions to events of their connections.
use super::{mix, ClientAction, ClientEvent, ClientRequest, ClientState, Clients, Event};
use hallrelay_balancer::types::{Idempotency, KeyScope, Micros};

/// Dial timeout of sessions that were open before the day.
const PRE_EXISTING_DIAL_TIMEOUT: Micros = 40_000_000;
/// First backoff of a client for which no relay was available. It doubles with each consecutive miss.
const RELAY_MISS_BACKOFF: Micros = 100_000;
/// Number of misses from which on the backoff stays the same, 16 times `RELAY_MISS_BACKOFF`.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Clients {
    /// A client opens a connection to the given relay, or to one drawn by the front.
    pub(super) fn request(&mut self, id: u64, relay: Option<usize>, out: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.get(&id) else { return };
        if self.now >= client.until || client.state != ClientState::Waiting {
            return;
        }
        let serving = self.front.serving();
        let relay = match relay {
            Some(relay) => relay,
            None if serving.is_empty() => return self.back_off(id),
            None => serving[self.random.below(serving.len())],
        };
        // Marks are unique, and do not reveal their client. They are odd, so that none is 0.
        self.last_number += 1;
        let mark = mix(self.last_number ^ (self.random.bits() << 24)) | 1;
        let client = &self.clients[&id];
        let listener = &self.scenario.listeners[client.listener];
        let is_pre_existing = client.pre_existing_at.is_some();
        let dial_timeout =
            if is_pre_existing { PRE_EXISTING_DIAL_TIMEOUT } else { listener.dial_timeout_ms.us() };
        let request = ClientRequest {
            mark,
            relay,
            listener: client.listener,
            key: client.key,
            group: client.group,
            returned: client.has_returned,
            retry: client.retries_left < self.scenario.clients.retries,
            dial_timeout,
            pre_existing_at: client.pre_existing_at,
            ended_after: client.is_ended_by_server.then(|| client.until - self.now),
        };
        self.counts[client.listener].attempts += 1;
        self.by_mark.insert(mark, id);
        self.set_state(id, ClientState::Requesting { mark, since: self.now });
        // Waits a little beyond the timeout, so that late answers are still seen.
        let margin = 2 * self.scenario.rules.slack_ms.us();
        self.events.schedule(self.now + dial_timeout + margin, Event::AnswerTimeout { mark });
        out.push(ClientAction::Open(request));
    }

    /// No relay is available for a client: it retries after a backoff.
    fn back_off(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.relay_misses = (client.relay_misses + 1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (RELAY_MISS_BACKOFF << client.relay_misses) / 2;
        let jitter = self.random.between([0, RELAY_MISS_BACKOFF]);
        self.events.schedule(self.now + backoff + jitter, Event::Request { client: id });
    }

    /// A client that got no answer in time closes its connection.
    pub(super) fn answer_timed_out(&mut self, mark: u64, out: &mut Vec<ClientAction>) {
        let Some(&id) = self.by_mark.get(&mark) else { return };
        let client = &self.clients[&id];
        let is_requesting = matches!(client.state, ClientState::Requesting { .. });
        if !is_requesting || client.state.mark() != Some(mark) {
            return;
        }
        self.counts[client.listener].unanswered += 1;
        self.by_mark.remove(&mark);
        out.push(ClientAction::Leave { mark });
        self.retry(id, 0, false);
    }

    /// Retries after a wait of at least `after`, or gives up if no retries are left or a retry is not safe.
    /// If `never_ran`, a retry is always safe.
    fn retry(&mut self, id: u64, after: Micros, never_ran: bool) {
        self.set_state(id, ClientState::Waiting);
        let client = self.clients.get_mut(&id).expect("a client that retries must be present");
        let may_repeat = never_ran
            || match self.scenario.listeners[client.listener].idempotency() {
                Idempotency::Idempotent => true,
                Idempotency::Keyed { scope: KeyScope::All, window } => {
                    self.now < client.first_request_at + window
                }
                _ => false,
            };
        if client.retries_left == 0 || !may_repeat {
            self.counts[client.listener].given_up += 1;
            return self.set_state(id, ClientState::GivenUp);
        }
        client.retries_left -= 1;
        let wait = self.random.between(self.scenario.clients.wait_ms.map(|ms| ms.us()));
        self.events.schedule(self.now + after.max(wait), Event::Request { client: id });
    }

    /// Handles an event of a connection. Returns false if the client has left this connection.
    pub fn handle(&mut self, now: Micros, mark: u64, event: ClientEvent) -> bool {
        self.now = self.now.max(now);
        let Some(&id) = self.by_mark.get(&mark) else { return false };
        match (self.clients[&id].state, event) {
            (ClientState::Requesting { since, .. }, ClientEvent::Established) => {
                self.session_established(id, mark, since);
            }
            (ClientState::Open { .. }, event) => {
                self.by_mark.remove(&mark);
                self.session_ended(id, event);
            }
            (_, event) => {
                self.by_mark.remove(&mark);
                self.attempt_ended(id, event);
            }
        }
        true
    }

    fn session_established(&mut self, id: u64, mark: u64, since: Micros) {
        let client = self.clients.get_mut(&id).expect("the client of an established session must be present");
        let wait = self.now - since;
        let listener = client.listener;
        // Sessions that were open before the day have no handshake time.
        if client.pre_existing_at.is_none() {
            _ = self.waits[listener].record(wait.max(1));
        }
        let target = self.scenario.listeners[listener].handshake_target_ms.us();
        let counts = &mut self.counts[listener];
        counts.established += 1;
        counts.within_target += u64::from(wait <= target);
        client.retries_left = self.scenario.clients.retries;
        client.has_returned = true;
        client.relay_misses = 0;
        client.pre_existing_at = None;
        self.set_state(id, ClientState::Open { mark });
    }

    /// An open session has ended.
    fn session_ended(&mut self, id: u64, event: ClientEvent) {
        match event {
            ClientEvent::Ended if self.now >= self.clients[&id].until => self.remove(id),
            // The server ended the session before the end of the lifetime, but as intended: the client sends
            // no further request.
            ClientEvent::Ended => self.set_state(id, ClientState::GivenUp),
            ClientEvent::Migrated => {
                self.moves += 1;
                self.return_later(id, self.scenario.clients.rejoin_ms.map(|ms| ms.us()));
            }
            _ => {
                self.breaks += 1;
                self.return_later(id, self.scenario.clients.rejoin_ms.map(|ms| ms.us()));
            }
        }
    }

    /// An attempt has ended without establishing a session.
    fn attempt_ended(&mut self, id: u64, event: ClientEvent) {
        let counts = &mut self.counts[self.clients[&id].listener];
        let mut after = 0;
        let mut never_ran = false;
        match event {
            ClientEvent::Rejected(retry_after) => {
                counts.rejected += 1;
                after = retry_after;
                never_ran = true;
            }
            ClientEvent::Unreachable => {
                counts.unreachable += 1;
                never_ran = true;
            }
            ClientEvent::Closed => counts.closed += 1,
            ClientEvent::Established | ClientEvent::Failed | ClientEvent::Migrated | ClientEvent::Ended => {
                counts.failed += 1
            }
        }
        self.retry(id, after, never_ran);
    }

    /// Schedules the return of a client, after a time drawn from a range.
    fn return_later(&mut self, id: u64, within: [Micros; 2]) {
        self.set_state(id, ClientState::Waiting);
        let client = self.clients.get_mut(&id).expect("a client that returns must be present");
        client.has_returned = true;
        client.first_request_at = self.now;
        let at = self.now + self.random.between(within);
        self.events.schedule(at, Event::Request { client: id });
    }

    /// A random fraction of the clients with an open session closes it immediately. They return within
    /// `within`, but not in its first tenth.
    pub fn reconnect(&mut self, now: Micros, fraction: f64, within: Micros) {
        self.now = self.now.max(now);
        let ids: Vec<u64> = self.clients.keys().copied().collect();
        for id in ids {
            let ClientState::Open { mark } = self.clients[&id].state else { continue };
            if self.random.fraction() < fraction {
                self.by_mark.remove(&mark);
                self.marks_to_leave.push(mark);
                self.breaks += 1;
                self.return_later(id, [within / 10, within]);
            }
        }
    }
}
