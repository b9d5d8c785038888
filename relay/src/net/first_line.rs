//! Reads a connection's first line. What is not of the protocol's form ends that connection alone.
use super::{accept, admit, end, Command, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, First};
use crate::reducer::Event;
use hallrelay::types::SessId;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

pub async fn run(conn: SessId, client: TcpStream, mut commands: Receiver<Command>, hub: &Hub) {
    let limits = &hub.limits;
    let mut buffer = Buffer::new(limits.buffer_first, limits.buffer_most);
    loop {
        let Ok(Some(line)) = timeout(span(limits.first_line), line(&client, &mut buffer, limits.line)).await
        else {
            return;
        };
        match lines::first(&line) {
            Some(First::Open(open)) => {
                let age = accept::age_of_last(&client).min(open.wait_ms * 1000);
                let left = (open.wait_ms * 1000).saturating_sub(age + limits.answer_margin);
                let wait_at = open.wait_at.clone();
                hub.tell(Event::Opened { sess: conn, open, left }).await;
                let asked = admit::Asked { line, wait_at };
                return admit::run(conn, client, buffer, asked, commands, hub).await;
            }
            Some(First::Ping) => {
                hub.tell(Event::Ping { conn }).await;
                if !matches!(commands.recv().await, Some(Command::Pong)) {
                    return;
                }
                if !end::write(&client, lines::PONG, limits.end).await {
                    return;
                }
            }
            None => {
                slog::debug!(hub.log, "a first line is odd"; "conn" => conn, "bytes" => line.len());
                return;
            }
        }
    }
}

/// The next whole line; none where the connection ends before, or the line is too long.
pub async fn line(stream: &TcpStream, buffer: &mut Buffer, most: usize) -> Option<Vec<u8>> {
    loop {
        if let Some(line) = buffer.take_line() {
            return (line.len() <= most).then_some(line);
        }
        if buffer.partial() > most + lines::END.len() {
            return None;
        }
        if buffer.fill(stream).await.ok()? == 0 {
            return None;
        }
    }
}
