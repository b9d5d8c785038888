//! Whether this process serves, drains or stops: one table for all that is told to it, by operators or signals.
//! What a drain or a stop does to sessions stands here too.
use super::{Alarm, Call, Effect, Reducer, Reply, Stage};
use hallrelay::types::{Input, Micros, SessId};
use hallrelay_config::limits::Limits;
use Act::{Empty, Nothing, Refuse, Resume};
use Duty::{Draining, Serving, Stopping};

/// How things stand, in a word for operators.
pub type Word = &'static str;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Duty {
    #[default]
    Serving,
    Draining,
    Stopping,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    Drain,
    Activate,
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Act {
    /// Sessions are moved bit by bit.
    Empty,
    /// Who was not yet moved stays, and `PING` is answered again.
    Resume,
    Nothing,
    Refuse,
}

/// State, input, next state, effect.
const TABLE: [(Duty, Sign, Duty, Act); 9] = [
    (Serving, Sign::Drain, Draining, Empty),
    (Serving, Sign::Activate, Serving, Nothing),
    (Serving, Sign::Stop, Stopping, Empty),
    (Draining, Sign::Drain, Draining, Nothing),
    (Draining, Sign::Activate, Serving, Resume),
    (Draining, Sign::Stop, Stopping, Empty),
    (Stopping, Sign::Drain, Stopping, Nothing),
    (Stopping, Sign::Activate, Stopping, Refuse),
    (Stopping, Sign::Stop, Stopping, Nothing),
];

impl Duty {
    fn word(self) -> Word {
        match self {
            Serving => "serving",
            Draining => "draining",
            Stopping => "stopping",
        }
    }

    /// From when on sessions are moved, and by when all are.
    fn plan(self, limits: &Limits) -> (Micros, Micros) {
        match self {
            Draining => (limits.drain_from, limits.drain_by),
            Serving | Stopping => (limits.stop_from, limits.stop_by),
        }
    }
}

impl Reducer {
    pub(super) fn turn(&mut self, sign: Sign, out: &mut Vec<Effect>) -> Act {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self.duty, sign));
        let &(_, _, next, act) = row.expect("every sign has a row in every state");
        if next != self.duty {
            (self.duty, self.since, self.round, self.owed) = (next, self.now, self.round + 1, 999);
        }
        match act {
            Empty => {
                let (after, _) = self.duty.plan(&self.node.limits);
                out.push(Effect::Alarm { after, alarm: Alarm::Emptying(self.round) });
                self.pong(out);
            }
            Resume => self.pong(out),
            Nothing | Refuse => {}
        }
        act
    }

    pub(super) fn called(&mut self, what: Call, out: &mut Vec<Effect>) -> Reply {
        let act = match what {
            Call::Figures => return Reply::Figures(Box::new(self.figures())),
            Call::Ready => Nothing,
            Call::Drain => self.turn(Sign::Drain, out),
            Call::Activate => self.turn(Sign::Activate, out),
        };
        let word = if self.duty == Serving && !self.can_place() { "starting" } else { self.duty.word() };
        match (act, what) {
            (Refuse, _) => Reply::Conflict(word),
            (_, Call::Ready) if word != Serving.word() => Reply::No(word),
            _ => Reply::Yes(word),
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
            Draining => |conn| Effect::Deny { conn },
            Serving | Stopping => return,
        };
        out.extend(self.pings.drain(..).map(said));
    }

    /// Guards a drain against clients that come past the front once it has had its time: they are refused.
    pub(super) fn takes(&self) -> bool {
        self.duty != Draining || self.now < self.since + self.node.limits.drain_takes
    }

    /// Moves the open sessions bit by bit, so that the backends are not asked for all of them at once.
    pub(super) fn empty(&mut self, out: &mut Vec<Effect>) {
        const TICK: Micros = 50_000;
        let limits = self.node.limits;
        let (_, by) = self.duty.plan(&limits);
        let since = self.now - self.since;
        if self.duty == Stopping {
            // Last lines go out before it leaves; who is no session is not waited for much longer than those.
            let empty = self.sessions.is_empty() && (self.aside.is_empty() || since >= limits.stop_end);
            if empty && since >= limits.stop_least {
                return out.push(Effect::Exit);
            }
        } else if since >= by {
            self.give_up(out);
            if self.sessions.is_empty() && !self.takes() {
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
        out.push(Effect::Alarm { after: TICK, alarm: Alarm::Emptying(self.round) });
    }

    /// Who waits for an answer still as a drain ends gets it: a refusal where nothing was sent, else a failure.
    fn give_up(&mut self, out: &mut Vec<Effect>) {
        let waiting = |s: &super::Sess| matches!(s.stage, Stage::Admit | Stage::Dial);
        let left: Vec<SessId> = self.sessions.iter().filter(|(_, s)| waiting(s)).map(|(id, _)| *id).collect();
        for sess in left {
            let theirs = self.sessions[&sess].standing.is_none();
            match self.sessions[&sess].dials {
                0 => self.refuse(sess, out),
                _ => self.answer(sess, Effect::TearDown { sess }, out),
            }
            if theirs {
                self.tell(Input::Left { sess }, out);
            }
        }
    }

    /// A refusal that is the program's own: the client may come again as soon as it likes.
    pub(super) fn refuse(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        self.answer(sess, Effect::Refuse { sess, retry_after: 0 }, out);
    }
}
