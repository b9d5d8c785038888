//! Whether this process serves, drains or stops: one table for all that is told to it, by operators or
//! signals. What a drain or a stop does to sessions stands here too.
use super::sessions::owed;
use super::{note, Effect, OperatorReply, OperatorRequest, Reducer, Stage, Timer};
use hallrelay_balancer::types::{Micros, SessId};
use hallrelay_config::limits::Limits;
use Act::{Begin, BeginEmpty, Empty, Nothing, Refuse, Resume, Yield};
use Duty::{Away, Draining, Leaving, Relieved, Serving, Stopping, Waiting};

/// Where nothing is agreed.
const NONE: &str = "fleet.voters is not configured here: backends drain by their list";

/// How things stand, in a word for operators.
pub type Word = &'static str;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Duty {
    /// Another process has the place that this one is to take.
    Waiting,
    #[default]
    Serving,
    Draining,
    Stopping,
    /// Another process has this one's place; what is here goes on.
    Relieved,
    /// The same, while a drain goes on.
    Away,
    /// The same, told to stop.
    Leaving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    Drain,
    Activate,
    Stop,
    /// The place is this process's; a drain in force holds on.
    Take,
    TakeDrained,
    /// It is another's, or this one's again.
    Yield,
    Return,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Act {
    /// Connections are taken.
    Begin,
    /// Sessions are moved bit by bit.
    Empty,
    /// Both.
    BeginEmpty,
    /// Who was not yet moved stays, and `PING` is answered again.
    Resume,
    /// No connection is taken any more.
    Yield,
    Nothing,
    Refuse,
}

/// State, input, next state, effect. What is not listed changes nothing.
const TABLE: &[(Duty, Sign, Duty, Act)] = &[
    (Waiting, Sign::Take, Serving, Begin),
    (Waiting, Sign::TakeDrained, Draining, BeginEmpty),
    (Waiting, Sign::Drain, Waiting, Refuse),
    (Waiting, Sign::Activate, Waiting, Refuse),
    (Waiting, Sign::Stop, Leaving, Empty),
    (Serving, Sign::Drain, Draining, Empty),
    (Serving, Sign::Stop, Stopping, Empty),
    (Serving, Sign::Yield, Relieved, Yield),
    (Draining, Sign::Activate, Serving, Resume),
    (Draining, Sign::Stop, Stopping, Empty),
    (Draining, Sign::Yield, Away, Yield),
    (Stopping, Sign::Activate, Stopping, Refuse),
    (Stopping, Sign::Yield, Leaving, Yield),
    (Relieved, Sign::Drain, Relieved, Refuse),
    (Relieved, Sign::Activate, Relieved, Refuse),
    (Relieved, Sign::Stop, Leaving, Empty),
    (Relieved, Sign::Return, Serving, Begin),
    (Away, Sign::Drain, Away, Refuse),
    (Away, Sign::Activate, Away, Refuse),
    (Away, Sign::Stop, Leaving, Empty),
    (Away, Sign::Return, Draining, Begin),
    (Leaving, Sign::Drain, Leaving, Refuse),
    (Leaving, Sign::Activate, Leaving, Refuse),
];

impl Duty {
    fn word(self) -> Word {
        match self {
            Waiting => "starting",
            Serving => "serving",
            Draining => "draining",
            Stopping => "stopping",
            Relieved | Away | Leaving => "replaced",
        }
    }

    /// From when on sessions are moved, and by when all are.
    fn plan(self, limits: &Limits) -> (Micros, Micros) {
        match self {
            Draining | Away => (limits.drain_from, limits.drain_by),
            Leaving => (limits.leave_from, limits.leave_by),
            _ => (limits.stop_from, limits.stop_by),
        }
    }
}

impl Reducer {
    pub(super) fn turn(&mut self, sign: Sign, out: &mut Vec<Effect>) -> Act {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self.duty, sign));
        let &(from, _, next, act) = row.unwrap_or(&(self.duty, sign, self.duty, Nothing));
        // A drain or a stop that goes on as another process takes over goes by its first moment.
        let same = matches!((from, next), (Draining, Away) | (Away, Draining) | (Stopping, Leaving));
        self.duty = next;
        if from != next {
            note(format!("from {} to {}", from.word(), next.word()), out);
        }
        if from != next && !same {
            (self.since, self.round, self.owed) = (self.now, self.round + 1, 999);
        }
        match act {
            Empty => self.begin_to_empty(out),
            Begin => {
                out.push(Effect::SetAccepting { on: true });
                self.pong(out);
            }
            BeginEmpty => {
                out.push(Effect::SetAccepting { on: true });
                self.begin_to_empty(out);
            }
            Yield => out.push(Effect::SetAccepting { on: false }),
            Resume => self.pong(out),
            Nothing | Refuse => {}
        }
        if from != next {
            self.refresh_metadata(out);
        }
        act
    }

    fn begin_to_empty(&mut self, out: &mut Vec<Effect>) {
        let (after, _) = self.duty.plan(&self.node.limits);
        out.push(Effect::StartTimer { after, alarm: Timer::MigrateBatch(self.round) });
        self.pong(out);
    }

    pub(super) fn stops(&self) -> bool {
        matches!(self.duty, Stopping | Leaving)
    }

    /// Since when a drain is in force.
    pub(super) fn draining(&self) -> Option<Micros> {
        matches!(self.duty, Draining | Away).then_some(self.since)
    }

    /// An operator's call, answered at once; where that takes an agreement, as it comes.
    pub(super) fn called(&mut self, call: u32, what: OperatorRequest, out: &mut Vec<Effect>) {
        let reply = match what {
            // A relay that does not serve needs nobody's leave.
            OperatorRequest::Drain(drain)
                if self.is_coordinated() && (drain.backend.is_some() || self.duty == Serving) =>
            {
                return self.request_drain(call, *drain, out);
            }
            OperatorRequest::Propose { command, words } if self.is_coordinated() => {
                return self.request_commit(call, *command, words, out);
            }
            OperatorRequest::Drain(drain) if drain.backend.is_some() => {
                OperatorReply::Blocked(NONE.to_string())
            }
            OperatorRequest::Propose { .. } => OperatorReply::Blocked(NONE.to_string()),
            OperatorRequest::Leases => OperatorReply::Leases(self.grants_answer()),
            OperatorRequest::Rollout => OperatorReply::Leases(self.release_answer()),
            what => self.call(&what, out),
        };
        out.push(Effect::Reply { call, reply });
    }

    /// Whether clients are served here, and are to be.
    pub(super) fn serves(&self) -> bool {
        matches!(self.duty, Serving) && self.can_place()
    }

    fn call(&mut self, what: &OperatorRequest, out: &mut Vec<Effect>) -> OperatorReply {
        let act = match what {
            OperatorRequest::Membership => return OperatorReply::Membership(self.fleet_status()),
            OperatorRequest::Metrics => return OperatorReply::Metrics(Box::new(self.figures())),
            OperatorRequest::Drain(_) => self.turn(Sign::Drain, out),
            OperatorRequest::Activate => self.turn(Sign::Activate, out),
            OperatorRequest::Readiness
            | OperatorRequest::Leases
            | OperatorRequest::Rollout
            | OperatorRequest::Propose { .. } => Nothing,
        };
        let word = if self.duty == Serving && !self.can_place() { "starting" } else { self.duty.word() };
        match (act, what) {
            (Refuse, _) => OperatorReply::Conflict(word),
            (_, OperatorRequest::Readiness) if word != Serving.word() => OperatorReply::Unavailable(word),
            _ => OperatorReply::Accepted(word),
        }
    }

    /// Whether there is a backend to place sessions on, as far as the list tells.
    pub(super) fn can_place(&self) -> bool {
        !self.servers.is_empty()
    }

    /// What `PING` is told: nothing while it starts or stops, no while it drains.
    pub(super) fn pong(&mut self, out: &mut Vec<Effect>) {
        let said: fn(SessId) -> Effect = match self.duty {
            Serving if self.can_place() => |conn| Effect::Pong { conn },
            // Whom this process took before it was replaced: the two are one relay, and it serves.
            Relieved | Leaving => |conn| Effect::Pong { conn },
            Draining | Away => |conn| Effect::RejectPing { conn },
            Waiting | Serving | Stopping => return,
        };
        out.extend(self.pings.drain(..).map(said));
    }

    /// Guards a drain against clients that come past the front once it has had its time: they are refused.
    pub(super) fn takes(&self) -> bool {
        self.draining().is_none() || self.now < self.since + self.node.limits.drain_takes
    }

    /// Whether all sessions are to be gone by now: who comes still is refused at once, and holds up no stop.
    pub(super) fn leaves(&self) -> bool {
        self.stops() && self.now >= self.since + self.duty.plan(&self.node.limits).1
    }

    /// Moves the open sessions bit by bit, so that the backends are not asked for all of them at once.
    pub(super) fn empty(&mut self, out: &mut Vec<Effect>) {
        const TICK: Micros = 50_000;
        let limits = self.node.limits;
        let (_, by) = self.duty.plan(&limits);
        let since = self.now - self.since;
        if self.stops() {
            if self.duty == Leaving {
                self.unwatch(out);
            }
            // Last lines go out before it leaves; who is no session is not waited for much longer than those.
            // Guards clients half way through their first line: they are told to come again, and have a
            // moment to hear it.
            let left = self.aside.is_empty() || since >= limits.stop_end + TICK;
            if since >= limits.stop_end {
                out.extend(self.aside.drain(..).map(|(conn, _)| Effect::ShedConnection { conn }));
            }
            let empty = self.sessions.is_empty() && left;
            // At the latest a moment before it may be killed: whoever is there was answered or told to move.
            let late = since >= limits.stop_end + 2 * TICK;
            if late || empty && (since >= limits.stop_least || self.duty == Leaving) {
                self.leave_fleet(out);
                return out.push(Effect::Exit);
            }
        }
        if since >= by {
            self.answer_all(out);
            if self.draining().is_some() && self.sessions.is_empty() && !self.takes() {
                return;
            }
        }
        let open: Vec<SessId> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Pass).map(|(id, _)| *id).collect();
        let ticks = by.saturating_sub(since) / TICK + 1;
        // Thousandths of a session: with few of them most ticks move none.
        self.owed += open.len() * 1000 / ticks as usize;
        let part = self.owed / 1000;
        self.owed %= 1000;
        open.into_iter().take(part).for_each(|sess| self.move_on(sess, out));
        out.push(Effect::StartTimer { after: TICK, alarm: Timer::MigrateBatch(self.round) });
    }

    /// Who waits for an answer still as a drain or a stop ends (its dial timeout may be of older settings)
    /// gets it: a refusal where nothing was sent, else a failure.
    fn answer_all(&mut self, out: &mut Vec<Effect>) {
        let left = self.sessions.iter().filter(|(_, s)| s.stage.waits());
        let left: Vec<(SessId, u32)> = left.map(|(id, s)| (*id, s.dials)).collect();
        for (sess, dials) in left {
            self.give_up(sess, owed(sess, dials), out);
        }
    }
}
