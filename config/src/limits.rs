//! Sizes, counts and times that bound the program: filled once at start and handed down.
use crate::error::ConfigError;
use crate::facts::Site;
use hallrelay_balancer::types::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a line without its end, and what a connection's buffer begins with and may grow to.
    pub line: usize,
    pub buffer_first: usize,
    pub buffer_most: usize,
    /// Connections taken from clients at once, and how many of them may be on their way out beyond that.
    pub clients: usize,
    pub shedding: usize,
    /// Sessions with a backend at once; each holds a second descriptor.
    pub sessions: u32,
    /// Probe connections that are kept open, one a backend.
    pub probes: usize,
    /// Bytes of one line of discovery's list.
    pub list: usize,
    /// Events on their way to the reducer; commands on their way to one connection.
    pub events: usize,
    pub commands: usize,
    /// Messages of one session whose answers are awaited and measured.
    pub unanswered: usize,
    /// Log lines that wait to be written; more are dropped and counted.
    pub log_lines: usize,
    pub connect: Micros,
    /// From a connection's start to its session's first line.
    pub first_line: Micros,
    /// The same for one that grows, and how long it may pause then.
    pub first_line_most: Micros,
    pub first_line_pause: Micros,
    /// A client that would wait longer than this speaks another protocol.
    pub wait: Micros,
    /// An answer leaves this long before the client's time is up.
    pub answer_margin: Micros,
    /// How long after that it is still said.
    pub answer_late: Micros,
    pub probe: Micros,
    pub probe_idle: Micros,
    /// A message that brings nothing back for this long: the backend is taken for silent.
    pub silence: Micros,
    /// A client that takes nothing for this long is let go.
    pub stuck: Micros,
    /// The time to write a last line and for the other side to close.
    pub end: Micros,
    pub discovery_first: Micros,
    /// How long after a watch broke the next one is asked for where lists come unasked; elsewhere the module
    /// says.
    pub discovery_again: Option<Micros>,
    /// A watch that says nothing whole for so long is doubted, and another one asked for.
    pub discovery_doubt: Micros,
    /// From when on SIGTERM sessions are moved, by when all are, till when last lines are awaited; no exit
    /// before `stop_least`.
    pub stop_from: Micros,
    pub stop_by: Micros,
    pub stop_end: Micros,
    pub stop_least: Micros,
    pub standing: Micros,
    /// Operators' connections at once, the time in which a call must be whole, bytes of its head and body.
    pub callers: usize,
    pub call: Micros,
    pub call_head: usize,
    pub call_body: usize,
    /// From when on a drain moves sessions, by when all are, and till when new ones are still taken.
    pub drain_from: Micros,
    pub drain_by: Micros,
    pub drain_takes: Micros,
    /// The same of a process that another has replaced, from SIGTERM on.
    pub leave_from: Micros,
    pub leave_by: Micros,
    /// Processes that may ask to take over at once, and how long a running one may take to offer its
    /// listener.
    pub visitors: usize,
    pub offer: Micros,
    /// Messages and sessions on their way to another process.
    pub passing: usize,
    /// Streams of other relays at once, the time that one may take, and datagrams that are read in a second.
    pub fleet_streams: usize,
    pub fleet_stream: Micros,
    pub fleet_datagrams: u32,
    /// Bytes of the store; how long a start waits for it, and a dial for what must be written before it.
    pub state_bytes: u64,
    pub state_open: Micros,
    pub state_wait: Micros,
}

/// Parts that want descriptors of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Uses {
    pub operator: bool,
    pub fleet: bool,
    pub state: bool,
}

const MS: Micros = 1000;

impl Limits {
    /// Descriptors for discovery, the listening socket, standard streams, the runtime, and a few to spare.
    const OWN_SOCKETS: usize = 24;
    /// Kept probe connections may take this part of all descriptors.
    const PROBE_PART: usize = 16;
    /// Operators' connections: some who call each second, beside some who hold one and say nothing.
    const CALLERS: usize = 16;
    /// The door for another process, and who stands there.
    const DOOR: usize = 5;
    /// Streams of other relays, each way.
    const FLEET_STREAMS: usize = 8;

    /// Keeps an ordered stop that was begun under other settings: it takes no longer than it would have.
    pub fn stop_no_later(&mut self, before: &Limits) {
        let earlier = |own: &mut Micros, before: Micros| *own = before.min(*own);
        earlier(&mut self.stop_from, before.stop_from);
        earlier(&mut self.stop_by, before.stop_by);
        earlier(&mut self.stop_end, before.stop_end);
        earlier(&mut self.stop_least, before.stop_least);
        earlier(&mut self.leave_by, before.leave_by);
    }

    pub fn new(site: &Site, sockets: usize, uses: Uses) -> Result<Limits, ConfigError> {
        let own = Self::OWN_SOCKETS + usize::from(uses.operator) * (Self::CALLERS + 1 + Self::DOOR);
        // The lock, the log, the one that is to take its place, the folder.
        let own = own + usize::from(uses.state) * 4;
        // Two sockets that listen, beside the streams.
        let own = own + usize::from(uses.fleet) * (2 * Self::FLEET_STREAMS + 2);
        let left = sockets.saturating_sub(own + sockets / Self::PROBE_PART);
        if left < 4 {
            return Err(ConfigError::InvalidValue {
                path: "limits.sockets".to_string(),
                value: sockets.to_string(),
                wanted: format!("{} at least", own * 2),
            });
        }
        let longest = site.dial_timeouts.iter().copied().max().unwrap_or(0);
        // An ordered stop: SIGKILL comes no sooner than the longest dial timeout, 3 s at most, and 0.7 s
        // more.
        let patience = longest.min(3_000 * MS);
        let kill = patience + 700 * MS;
        // Two watch calls fit into the time that a relay may go unasked.
        let ask = site.ask_within.unwrap_or(10_000 * MS);
        Ok(Limits {
            line: 4096,
            buffer_first: 256,
            buffer_most: 8192,
            // More clients than sessions, so that those over the cap still get their answer.
            // (A backend's connection may outlive its client's for a moment: some are left for that.)
            clients: left / 2,
            shedding: 8,
            sessions: (left * 9 / 20) as u32,
            probes: sockets / Self::PROBE_PART,
            // Some ten thousand entries.
            list: 2 << 20,
            events: 1024,
            commands: 8,
            unanswered: 8,
            log_lines: 1024,
            // The line must be out before a drain's grace has passed, counted from the decision to dial.
            // (All time limits are 50 ms longer on sockets: a grace of nothing leaves as much.)
            connect: site.connect.min((site.drain_grace * 4 / 5).max(40 * MS)),
            // Who says nothing is owed an end within 3 s of connecting; `end` is still to come.
            first_line: 2_000 * MS,
            // Lines written bit by bit take 2 s; the error is out at once, `end` waits for the other side.
            first_line_most: 2_700 * MS,
            first_line_pause: 700 * MS,
            // Far beyond what any listener gives.
            wait: longest * 10,
            // Clients take answers a little late as well, but the wake-up of a busy core takes some of it.
            answer_margin: 10 * MS,
            // Beyond half a second a session counts as lost, whatever comes.
            answer_late: 510 * MS,
            // A probe is a small message: twice what a connect may take.
            probe: site.connect * 2,
            // Backends may close sooner what idles, and that is no fault of theirs. Closing here before they
            // do (4 s where they do so after 5) cost a tenth of service where a third of connections come up
            // late.
            probe_idle: 30_000 * MS,
            // Answers come at once, and clients speak every 2 s: by then two messages would be lost, far from
            // the 7 s within which clients must be told. 4.5 s kept less where servers drop sessions unsaid.
            silence: 2_000 * MS,
            stuck: 30_000 * MS,
            end: 500 * MS,
            // However short that is, an answer has time to come.
            discovery_first: (ask / 2).clamp(500 * MS, 4_000 * MS),
            // What is told there counts by the drain's grace whether or not a watch is open: twice within it.
            discovery_again: match site.ask_within {
                None => Some((site.drain_grace / 2).clamp(50 * MS, 500 * MS)),
                Some(_) => None,
            },
            // An idle watch brings an empty line every 2 s, and a quarter more for one that is late. What a
            // silent one misses counts as told 6 s after it fell silent: the rest is for the next one's
            // answer.
            discovery_doubt: 2_500 * MS,
            // Whom the only relay that is up moves early waits for the next start, and longer with each try.
            // The front goes on sending new connections for 0.2 to 0.4 s.
            // Where others are up nobody has to wait for one: spread over all the time there is, or the
            // sessions of a tenth of a large fleet, stopped together, come to the others as one burst.
            stop_from: if site.facts.relay_count > 2 { 400 * MS } else { patience.max(500 * MS) }
                .min(kill - 450 * MS),
            // The last moved need time to leave.
            stop_by: kill - 350 * MS,
            stop_end: kill - 150 * MS,
            stop_least: (1000 * MS).min(kill - 150 * MS),
            standing: 40_000 * MS,
            callers: Self::CALLERS,
            // A call is one small packet; answers are owed within a second.
            call: 2_000 * MS,
            // The least that hyper allows.
            call_head: 8192,
            call_body: 4096,
            // The front sends for 0.3 s more, and at 4 s nobody may be left; the last moved need time to go.
            drain_from: 500 * MS,
            drain_by: 3_300 * MS,
            drain_takes: 1_000 * MS,
            // One to take the place, and some that are told no meanwhile.
            visitors: 3,
            // Those beyond wait in their tasks.
            passing: 64,
            fleet_streams: Self::FLEET_STREAMS,
            // A table is some packets; a peer that stalls costs no more than this.
            fleet_stream: 2_000 * MS,
            // Some 40 a second come of 300 relays, ten times that while half of them return.
            fleet_datagrams: 5_000,
            // A server takes some 300 bytes: a hundred thousand of them, twice over.
            state_bytes: 64 << 20,
            // A slow disk reads that in as long; service does not wait for more.
            state_open: 2_000 * MS,
            // A sync takes some ms; a dial has 50 ms beyond its connect before a drain's grace is over.
            state_wait: 20 * MS,
            // It is one message within one machine; operators give a new process 6 s in all.
            offer: 2_000 * MS,
            // The next process is there for whoever is moved: nothing is gained by waiting.
            leave_from: 100 * MS,
            leave_by: patience.max(1_000 * MS).min(kill - 350 * MS),
        })
    }
}
