//! A session that is taken and waits for what the reducer says: a dial, a final answer, or lines to pass.
use super::{dial, end, pass, Command, Hub};
use crate::buffer::Buffer;
use crate::lines;
use crate::reducer::Event;
use hallrelay::types::SessId;
use std::ops::Range;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;

/// The client's first line, kept until a backend has answered it.
pub struct Asked {
    pub line: Vec<u8>,
    pub wait_at: Range<usize>,
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
            command = commands.recv() => command,
            more = stirs(&client, &mut buffer) => return stirred(more, conn, client, commands, hub).await,
        };
        match command {
            Some(Command::Dial { dial, addr, wait }) => {
                let line = lines::onward(&asked.line, &asked.wait_at, wait / 1000);
                let ended = tokio::select! {
                    ended = dial::run(addr, &line, wait, hub) => ended,
                    // Leaving this drops the dial, which gives it up.
                    more = stirs(&client, &mut buffer) => {
                        return stirred(more, conn, client, commands, hub).await;
                    }
                    // While a dial is out only an end can be asked for: closing gives the dial up.
                    command = commands.recv() => {
                        if let Some(Command::Answer(line)) = command {
                            end::answer(client, &line, &mut commands, hub).await;
                        }
                        return;
                    }
                };
                match ended {
                    dial::Ended::Up(backend) => {
                        hub.tell(Event::Up { sess: conn, dial }).await;
                        // Where the session is over by now, it is told to close instead.
                        if let Some(Command::Pass) = commands.recv().await {
                            pass::run(conn, client, buffer, backend, commands, hub).await;
                        }
                        return;
                    }
                    dial::Ended::Over(line) => {
                        let (end, report) = (hallrelay::types::DialEnd::Ok, line.1);
                        hub.tell(Event::DialEnded { sess: conn, dial, end, report }).await;
                        return end::answer(client, &line.0, &mut commands, hub).await;
                    }
                    dial::Ended::Not(end, report) => {
                        hub.tell(Event::DialEnded { sess: conn, dial, end, report }).await;
                    }
                }
            }
            Some(Command::Answer(line)) => return end::answer(client, &line, &mut commands, hub).await,
            _ => return,
        }
    }
}

/// Ends when the client does, or sends more, which is true: it is to wait for its answer.
async fn stirs(client: &TcpStream, buffer: &mut Buffer) -> bool {
    matches!(buffer.fill(client).await, Ok(1..))
}

async fn stirred(more: bool, conn: SessId, client: TcpStream, commands: Receiver<Command>, hub: &Hub) {
    if more {
        spurned(conn, client, commands, hub).await;
    }
}

/// Tells of a connection that is not of the protocol, and carries its last line out.
pub async fn spurned(conn: SessId, client: TcpStream, mut commands: Receiver<Command>, hub: &Hub) {
    hub.tell(Event::Odd { conn }).await;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Answer(line) => return end::answer(client, &line, &mut commands, hub).await,
            // What was on its way before is moot.
            Command::Dial { .. } | Command::Pong(_) | Command::Shed | Command::Doubt(_) => {}
            Command::Pass | Command::Move | Command::PassOn(..) | Command::Close => return,
        }
    }
}
