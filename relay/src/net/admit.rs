//! A session that is taken and waits for what the reducer says: a dial, a final answer, or lines to pass.
//! Whatever the order in which things come, it ends by a line that the reducer asked for, or that a backend
//! gave: what is told to a connection that was no session yet is passed over here.
use super::read::State;
use super::{dial, end, pass, Command, Hub};
use crate::buffer::Buffer;
use crate::lines;
use crate::reducer::Event;
use hallrelay_balancer::types::{DialEnd, SessId};
use std::ops::Range;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;

/// The client's first line, kept until a backend has answered it.
pub struct Asked {
    pub line: Vec<u8>,
    pub wait_at: Range<usize>,
}

/// What ends the wait for a dial, beside its own end.
enum Next {
    Ended(dial::Ended),
    Client(State),
    Told(Option<Command>),
}

pub async fn run(
    conn: SessId,
    client: TcpStream,
    mut buffer: Buffer,
    asked: Asked,
    mut commands: Receiver<Command>,
    hub: &Hub,
) {
    loop {
        let command = tokio::select! {
            biased;
            // Guards a client that has left: its end goes before a dial that was decided without it.
            stirred = stirs(&client, &mut buffer) => {
                return leave(stirred, conn, client, commands, hub).await;
            }
            command = word(&client, &mut commands, hub) => command,
        };
        match command {
            Some(Command::Dial { dial, addr, wait, terms }) => {
                let line = lines::onward(&asked.line, &asked.wait_at, wait / 1000);
                let order = dial::Order { addr, line: &line, wait, terms };
                match out(order, &client, &mut buffer, &mut commands, hub).await {
                    Next::Client(stirred) | Next::Ended(dial::Ended::Client(stirred)) => {
                        return leave(stirred, conn, client, commands, hub).await;
                    }
                    Next::Told(Some(Command::Answer(line))) => {
                        return end::answer(client, &line, &mut commands, hub).await;
                    }
                    Next::Told(_) => return,
                    Next::Ended(dial::Ended::Up(backend)) => {
                        hub.tell(Event::SessionEstablished { sess: conn, dial }).await;
                        // Guards the session that was given up as its backend's answer was read: what waits
                        // then is its final answer, and the backend's goes nowhere.
                        match word(&client, &mut commands, hub).await {
                            Some(Command::Pass) => {
                                pass::run(conn, client, buffer, backend, commands, hub).await;
                            }
                            Some(Command::Answer(line)) => {
                                drop(backend);
                                end::answer(client, &line, &mut commands, hub).await;
                            }
                            _ => {}
                        }
                        return;
                    }
                    Next::Ended(dial::Ended::Over(line)) => {
                        let (end, report) = (DialEnd::Ok, line.1);
                        hub.tell(Event::DialEnded { sess: conn, dial, end, report }).await;
                        return end::answer(client, &line.0, &mut commands, hub).await;
                    }
                    Next::Ended(dial::Ended::NotBegun) => {
                        hub.tell(Event::DialNotStarted { sess: conn, dial }).await;
                    }
                    Next::Ended(dial::Ended::Not(end, report)) => {
                        hub.tell(Event::DialEnded { sess: conn, dial, end, report }).await;
                    }
                }
            }
            Some(Command::Answer(line)) => return end::answer(client, &line, &mut commands, hub).await,
            _ => return,
        }
    }
}

/// A dial that is out. Returning drops it, which gives it up.
async fn out(
    order: dial::Order<'_>,
    client: &TcpStream,
    buffer: &mut Buffer,
    commands: &mut Receiver<Command>,
    hub: &Hub,
) -> Next {
    tokio::select! {
        biased;
        // The client's end first, as above; then an order to give up, which holds whatever the backend says
        // by now: the reducer has no session any more that could stand.
        stirred = stirs(client, buffer) => Next::Client(stirred),
        command = word(client, commands, hub) => Next::Told(command),
        ended = dial::run(order, client, hub) => Next::Ended(ended),
    }
}

/// The next command for a session that waits. What was told to its connection before it was one ends
/// nothing: a `PONG` is written, the rest is moot. While a dial is out only an end can be asked for.
async fn word(client: &TcpStream, commands: &mut Receiver<Command>, hub: &Hub) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::Pong(line)) => _ = end::write(client, line, hub.limits().end).await,
            Some(Command::Shed | Command::Doubt(_)) => {}
            command => return command,
        }
    }
}

/// Ends when the client does, or sends more: it is to wait for its answer.
async fn stirs(client: &TcpStream, buffer: &mut Buffer) -> State {
    match buffer.fill(client).await {
        Ok(1..) => State::More,
        _ => State::Ended,
    }
}

async fn leave(stirred: State, conn: SessId, client: TcpStream, mut commands: Receiver<Command>, hub: &Hub) {
    if stirred == State::More {
        return rejected(conn, client, commands, hub).await;
    }
    // Whether it has gone, or merely ended its sending and reads on, its end alone does not tell: the answer
    // that it is owed is written, and nothing is sent on.
    hub.tell(Event::ClientHalfClosed { sess: conn }).await;
    last(client, &mut commands, hub).await;
}

/// Tells of a connection that is not of the protocol, and carries its last line out.
pub async fn rejected(conn: SessId, client: TcpStream, mut commands: Receiver<Command>, hub: &Hub) {
    hub.tell(Event::ProtocolViolation { conn }).await;
    last(client, &mut commands, hub).await;
}

/// The final answer, which is on its way. What was on its way before is moot.
async fn last(client: TcpStream, commands: &mut Receiver<Command>, hub: &Hub) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Answer(line) => return end::answer(client, &line, commands, hub).await,
            Command::Dial { .. } | Command::Pong(_) | Command::Shed | Command::Doubt(_) | Command::Pass => {}
            Command::Move | Command::PassOn(..) | Command::Close => return,
        }
    }
}
