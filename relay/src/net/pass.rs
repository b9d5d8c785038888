//! An open session: lines pass both ways unchanged, and what they tell of load and delay goes to the reducer.
use super::dial::Backend;
use super::processes::{hand_over_session, SessionSockets};
use super::{end, Command, Hub};
use crate::buffer::Buffer;
use crate::lines::{self, Said};
use crate::reducer::Event;
use hallrelay_balancer::types::{DialEnd, Micros, Report, SessId};
use hallrelay_hot_restart::place::Peer;
use hallrelay_hot_restart::Session;
use std::collections::VecDeque;
use std::io::ErrorKind;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep_until;

/// How an open session ends, as its task sees it.
enum Over {
    ClientEnded,
    ClientBroke,
    /// The backend ended it, with its last word where it had one.
    Backend(DialEnd, Option<Report>),
    /// The reducer wants it moved.
    Moved,
    /// Another process is to go on with it.
    Passed(Peer, Box<Session>),
    Closed,
}

/// What was heard on a session's lines.
struct LineObserver<'a> {
    conn: SessId,
    hub: &'a Hub,
    /// When messages came from the client whose answers are awaited, the oldest first.
    unanswered: VecDeque<Micros>,
    /// A message that waits too long, and until when its answer may still lie unread.
    doubt: Option<(Micros, Micros)>,
    /// How long that is.
    patience: Micros,
    last: Option<(DialEnd, Option<Report>)>,
}

impl<'a> LineObserver<'a> {
    fn new(conn: SessId, hub: &'a Hub) -> LineObserver<'a> {
        let patience = hub.limits().silence;
        LineObserver { conn, hub, unanswered: VecDeque::new(), doubt: None, patience, last: None }
    }

    /// False where a line is longer than lines may be.
    fn client_lines(&mut self, lines: &[u8]) -> bool {
        let (now, limits) = (self.hub.clock.now(), self.hub.limits());
        lines::whole(lines).all(|line| {
            if self.unanswered.len() < limits.unanswered {
                self.unanswered.push_back(now);
            }
            line.len() <= limits.line
        })
    }

    async fn backend_lines(&mut self, lines: &[u8]) -> bool {
        let (most, order) = (self.hub.limits().line, self.hub.order());
        for line in lines::whole(lines) {
            if line.len() > most {
                return false;
            }
            match lines::said(line, order) {
                Said::Load(load) => self.hub.tell(Event::LoadReported { sess: self.conn, load }).await,
                Said::Bye(report) => self.last = Some((DialEnd::Ok, report)),
                Said::Move => self.last = Some((DialEnd::Recalled, None)),
                _ => {
                    if let Some(then) = self.unanswered.pop_front() {
                        let time = self.hub.clock.now() - then;
                        self.hub.tell(Event::MessageLatency { sess: self.conn, time }).await;
                    }
                }
            }
        }
        true
    }

    /// When the oldest message has waited long enough to count as lost.
    fn silent_at(&self) -> Option<Micros> {
        let then = *self.unanswered.front()?;
        let doubt = self.doubt.filter(|doubt| doubt.0 == then);
        Some(doubt.map_or(then + self.patience, |doubt| doubt.1))
    }

    /// Whether it is lost. Guards against a standstill of the relay: what came meanwhile is read first.
    fn is_silent(&mut self) -> bool {
        // Long enough to read what lies there, short against the silence.
        const READ: Micros = 20_000;
        let Some(&then) = self.unanswered.front() else { return false };
        let before = self.doubt.replace((then, self.hub.clock.now() + READ));
        before.is_some_and(|doubt| doubt.0 == then)
    }
}

pub async fn run(
    conn: SessId,
    client: TcpStream,
    up: Buffer,
    backend: Backend,
    commands: Receiver<Command>,
    hub: &Hub,
) {
    let Backend { stream: backend, buffer: down, up: receipt } = backend;
    let mut observer = LineObserver::new(conn, hub);
    if !end::write(&client, &receipt, hub.limits().stuck).await {
        return end::abrupt(backend);
    }
    drop(receipt);
    if !(observer.client_lines(up.lines()) && observer.backend_lines(down.lines()).await) {
        return end::abrupt(backend);
    }
    go_on(client, up, backend, down, commands, observer).await;
}

/// Goes on with a session that another process had, once the reducer has it.
pub async fn resume(
    conn: SessId,
    session: Box<Session>,
    sockets: SessionSockets,
    mut commands: Receiver<Command>,
    hub: &Hub,
) {
    let SessionSockets { client, backend } = sockets;
    let (first, most) = (hub.limits().buffer_first, hub.limits().buffer_most);
    let (up, down) = (Buffer::holding(&session.up, first, most), Buffer::holding(&session.down, first, most));
    let mut observer = LineObserver::new(conn, hub);
    let now = hub.clock.now();
    observer.unanswered = session.unanswered.iter().map(|ago| now.saturating_sub(*ago)).collect();
    hub.tell(Event::SessionAdopted { sess: conn, session }).await;
    // Nothing else can have been told to it: it had no place before.
    if let Some(Command::Pass) = commands.recv().await {
        go_on(client, up, backend, down, commands, observer).await;
    }
}

async fn go_on(
    mut client: TcpStream,
    mut up: Buffer,
    mut backend: TcpStream,
    mut down: Buffer,
    mut commands: Receiver<Command>,
    mut observer: LineObserver<'_>,
) {
    let (conn, hub) = (observer.conn, observer.hub);
    loop {
        match both(&client, &mut up, &backend, &mut down, &mut commands, &mut observer).await {
            // One whose last word was heard ends here, at once.
            Over::Passed(peer, session) if observer.last.is_none() => {
                let session = Box::new(Session {
                    up: up.rest().to_vec(),
                    down: down.rest().to_vec(),
                    unanswered: observer.unanswered.iter().map(|then| hub.clock.now() - then).collect(),
                    ..*session
                });
                match hand_over_session(peer, session, SessionSockets { client, backend }, hub).await {
                    Ok(()) => return hub.tell(Event::SessionHandedOver { sess: conn }).await,
                    Err(Some(back)) => (client, backend) = (back.client, back.backend),
                    // Its sockets are of no use to this process any more.
                    Err(None) => return,
                }
                hub.tell(Event::SessionHandoverFailed { sess: conn }).await;
            }
            Over::Passed(..) => hub.tell(Event::SessionHandoverFailed { sess: conn }).await,
            Over::ClientEnded => {
                hub.tell(Event::ClientDisconnected { sess: conn }).await;
                if end::write(&backend, up.lines(), hub.limits().end).await {
                    end::orderly(backend, hub).await;
                }
                return;
            }
            Over::ClientBroke => {
                end::abrupt(backend);
                // Guards a client that is there still: whatever broke, it is told as far as it can be.
                return say(client, &down, lines::MOVE, &mut commands, hub).await;
            }
            Over::Closed => return,
            Over::Backend(how, report) => {
                hub.tell(Event::SessionEnded { sess: conn, end: how, report }).await;
                // Guards a client that would not know why: whom no last word told, is told to come again.
                let word: &[u8] = if how == DialEnd::Reset { lines::MOVE } else { b"" };
                drop(backend);
                return say(client, &down, word, &mut commands, hub).await;
            }
            Over::Moved => {
                drop(backend);
                hub.tell(Event::SessionEnded { sess: conn, end: DialEnd::Recalled, report: None }).await;
                return say(client, &down, lines::MOVE, &mut commands, hub).await;
            }
        }
    }
}

/// Whole lines that wait go first, then the word, then the end.
async fn say(client: TcpStream, down: &Buffer, word: &[u8], commands: &mut Receiver<Command>, hub: &Hub) {
    let last = [down.lines(), word].concat();
    end::answer(client, &last, commands, hub).await;
}

async fn both(
    client: &TcpStream,
    up: &mut Buffer,
    backend: &TcpStream,
    down: &mut Buffer,
    commands: &mut Receiver<Command>,
    observer: &mut LineObserver<'_>,
) -> Over {
    let (limits, clock) = (observer.hub.limits(), observer.hub.clock);
    let most = limits.line + lines::END.len();
    // Since when the client has taken nothing of what waits for it.
    let mut held: Option<Micros> = None;
    loop {
        let (to_client, to_backend) = (!down.lines().is_empty(), !up.lines().is_empty());
        held = if to_client { held.or(Some(clock.now())) } else { None };
        let (stuck_at, silent_at) = (held.map(|then| then + limits.stuck), observer.silent_at());
        // While the client takes nothing, its backend's silence is its own doing.
        let wake = stuck_at.or(silent_at);
        let wake_at = clock.at(wake.unwrap_or_default());
        tokio::select! {
            biased;
            // Commands are few, and a busy session would hold them up; then what has come, the backend's
            // first, since its end is known by it; then what is to go; at last the time, by which all that
            // lay there unread was read.
            command = commands.recv() => match command {
                Some(Command::Move) => return Over::Moved,
                Some(Command::PassOn(peer, session)) => return Over::Passed(peer, session),
                Some(Command::Doubt(doubted)) => {
                    // Where the backend answers no probes, a message gets no more time than a probe.
                    observer.patience = if doubted { limits.probe } else { limits.silence };
                }
                // Told to the connection before it was a session.
                Some(Command::Pong(_) | Command::Shed) => {}
                _ => return Over::Closed,
            },
            count = down.fill(backend), if down.has_room() => match count {
                Ok(0) | Err(_) => return gone(observer),
                Ok(_) if observer.backend_lines(down.fresh()).await && down.partial() <= most => {}
                Ok(_) => {
                    down.reject_fresh();
                    return Over::Backend(DialEnd::Reset, None);
                }
            },
            count = up.fill(client), if up.has_room() => match count {
                Ok(0) => return Over::ClientEnded,
                Ok(_) if observer.client_lines(up.fresh()) && up.partial() <= most => {}
                // A line too long ends the session as a break does.
                _ => return Over::ClientBroke,
            },
            ready = backend.writable(), if to_backend => {
                if ready.is_err() || goes(up, backend).is_err() {
                    return gone(observer);
                }
            }
            ready = client.writable(), if to_client => {
                match ready.and_then(|()| goes(down, client)) {
                    Ok(0) => {}
                    Ok(_) => held = None,
                    Err(_) => return Over::ClientBroke,
                }
            }
            () = sleep_until(wake_at), if wake.is_some() => {
                if held.is_some() {
                    return Over::ClientBroke;
                }
                if observer.is_silent() {
                    return Over::Backend(DialEnd::Reset, None);
                }
            }
        }
    }
}

/// The backend's connection is over: with its last word, or without one.
fn gone(observer: &mut LineObserver) -> Over {
    let (end, report) = observer.last.take().unwrap_or((DialEnd::Reset, None));
    Over::Backend(end, report)
}

/// Writes on what it can of the whole lines.
fn goes(buffer: &mut Buffer, stream: &TcpStream) -> std::io::Result<usize> {
    match buffer.write(stream) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(0),
        wrote => {
            buffer.shrink();
            wrote
        }
    }
}
