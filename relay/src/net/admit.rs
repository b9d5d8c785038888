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
            () = left(&client, &mut buffer) => return,
        };
        match command {
            Some(Command::Dial { dial, addr, wait }) => {
                let line = lines::onward(&asked.line, &asked.wait_at, wait / 1000);
                let ended = tokio::select! {
                    ended = dial::run(addr, &line, wait, hub) => ended,
                    () = left(&client, &mut buffer) => return,
                    // While a dial is out only an end can be asked for: closing gives the dial up.
                    command = commands.recv() => {
                        if let Some(Command::Answer(line)) = command {
                            end::answer(client, &line, hub).await;
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
                        return end::answer(client, &line.0, hub).await;
                    }
                    dial::Ended::Not(end, report) => {
                        hub.tell(Event::DialEnded { sess: conn, dial, end, report }).await;
                    }
                }
            }
            Some(Command::Answer(line)) => return end::answer(client, &line, hub).await,
            _ => return,
        }
    }
}

/// Ends when the client does. What it sends early waits in the buffer.
async fn left(client: &TcpStream, buffer: &mut Buffer) {
    while buffer.has_room() {
        if !matches!(buffer.fill(client).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}
