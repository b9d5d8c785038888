//! Reads a connection's first line, for a bounded time from its start. What is not of the protocol's form
//! gets an error, and ends that connection alone.
use super::read::{self, more, Unfit};
use super::{admit, end, Command, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, First};
use crate::reducer::Event;
use hallrelay_balancer::types::SessId;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep_until, Instant};

/// What the connection brought next.
enum Next {
    Line(Vec<u8>),
    /// Some bytes of one.
    Part,
    /// The end, before a line was whole; or the connection broke.
    Ended,
    Broke,
    /// Too long a line, or none in time.
    Odd,
    Told(Option<Command>),
}

pub async fn run(conn: SessId, client: TcpStream, mut commands: Receiver<Command>, hub: &Hub) {
    let limits = hub.limits();
    // One time for all that comes before the session: what says something now and then would stay for ever.
    let came = Instant::now();
    let mut over = came + span(limits.first_line);
    let mut buffer = Buffer::new(limits.buffer_first, limits.buffer_most);
    hub.tell(Event::ClientConnected { conn }).await;
    // Guards the final answer against one that asks without end: what waits for this task has few places, and
    // an answer that finds none is lost. No more is read than half of them can hold.
    let mut pings = 0;
    loop {
        let next = tokio::select! {
            biased;
            // A line that is there before a word that its place is wanted, and before its time is up: the
            // relay may have stood still while it lay there.
            line = more(&client, &mut buffer, limits.line), if pings < limits.commands / 2 => match line {
                Ok(Some(line)) => Next::Line(line),
                Ok(None) => Next::Part,
                Err(Unfit::Ended) => Next::Ended,
                Err(Unfit::Broke) => Next::Broke,
                Err(Unfit::Long) => Next::Odd,
            },
            command = commands.recv() => Next::Told(command),
            () = sleep_until(over) => Next::Odd,
        };
        let line = match next {
            Next::Line(line) => line,
            Next::Part => {
                // Guards a client that is slow: as long as its line grows it has a little more time.
                let pause = Instant::now() + span(limits.first_line_pause);
                over = over.max(pause.min(came + span(limits.first_line_most)));
                hub.tell(Event::FirstLineStarted { conn }).await;
                continue;
            }
            Next::Ended => return,
            // Nothing of it ran; whoever is there still may come again.
            Next::Broke => return end::at_once(client, &lines::busy(0)),
            Next::Odd => return admit::rejected(conn, client, commands, hub).await,
            Next::Told(Some(Command::Shed)) => {
                // Its line may lie there unread, in more than one read: then it is a session like others.
                while matches!(buffer.read_now(&client), Ok(1..)) {}
                match buffer.take_line() {
                    Some(line) => line,
                    None => return end::at_once(client, &lines::busy(0)),
                }
            }
            Next::Told(Some(Command::Pong(line))) => {
                pings = pings.saturating_sub(1);
                if !end::write(&client, line, limits.end).await {
                    return;
                }
                continue;
            }
            // Doubts are of open sessions; the others are answers to what was not said here.
            Next::Told(Some(Command::Doubt(_))) => continue,
            Next::Told(_) => return,
        };
        match lines::first(&line) {
            // Who sends more before it is answered speaks another protocol; what follows has no meaning here.
            Some(First::Open(open)) if !buffer.holds_more(&client) => {
                let wait = open.wait_ms.saturating_mul(1000);
                let age = read::age_of_last(&client).min(wait);
                let left = wait.saturating_sub(age + limits.answer_margin);
                let wait_at = open.wait_at.clone();
                hub.tell(Event::SessionRequested { sess: conn, open, left }).await;
                let asked = admit::Asked { line, wait_at };
                return admit::run(conn, client, buffer, asked, commands, hub).await;
            }
            // Guards against one that asks without end: lines go before the time in which one must begin.
            Some(First::Ping) if Instant::now() < over => {
                pings += 1;
                hub.tell(Event::Ping { conn }).await;
            }
            _ => {
                slog::debug!(hub.log, "a first line is odd"; "conn" => conn, "bytes" => line.len());
                return admit::rejected(conn, client, commands, hub).await;
            }
        }
    }
}
