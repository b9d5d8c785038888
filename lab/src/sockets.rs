//! A day on sockets: real relay processes, and the models round them on loopback addresses.
use crate::relays::{how, tail, Process, Program};
use hallrelay_config::scenario::{Scenario, TroubleKind};
use hallrelay_emulator::clients::mix;
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::links::{self, RelayAddresses};
use hallrelay_emulator::net::{endpoint_addresses, free_port, list, malformed, server, Clock, Host, Shared};
use hallrelay_emulator::node::{self, MembershipAddresses, RelayPlacement};
use hallrelay_emulator::script::{RelayAction, RelayCommand};
use hallrelay_emulator::service::{Outcome, RelayFigures};
use std::cell::Cell;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

pub struct Options<'a> {
    pub program: Program,
    /// Where configurations and logs go.
    pub out: &'a Path,
    /// Is told the part of the day that is done.
    pub progress: &'a dyn Fn(f64),
}

/// Descriptors that the laboratory needs for a day: two a session, and what listens.
pub fn descriptors(s: &Scenario) -> u64 {
    // A third more for those that come and go, and for clients that return all at once.
    let sessions = (s.most_open() * 2.0 * 1.34) as u64;
    let listeners = (s.relays.count * s.server_count()) as u64;
    sessions + listeners + 10 * s.relays.count as u64 + (s.bad.rate.0 * 8.0) as u64 + 64
}

/// Takes as many descriptors as the system gives without privileges; says which limit binds where they do not
/// do.
pub fn enough_descriptors(s: &Scenario, wanted: u64) -> Result<(), String> {
    if s.troubles.iter().any(|t| t.kind == TroubleKind::RelaysOut) {
        return Err("trouble of kind \"relays-out\" is played with --virtual only".to_string());
    }
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: both calls get a plain struct that outlives them.
    unsafe {
        if libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) != 0 {
            return Ok(()); // unknown: what is short will say so itself
        }
        if limit.rlim_cur < wanted && limit.rlim_cur < limit.rlim_max {
            limit.rlim_cur = limit.rlim_max.min(wanted.max(limit.rlim_cur));
            libc::setrlimit(libc::RLIMIT_NOFILE, &raw const limit);
            libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit);
        }
    }
    if limit.rlim_cur >= wanted {
        return Ok(());
    }
    Err(format!(
        "this day wants about {wanted} descriptors in this process ({:.0} sessions at once, two each, and {} \
         listening sockets), and the limit of open files (RLIMIT_NOFILE) is {}, {} at most: lower load.rate, \
         load.standing or relays.count, raise the limit with `ulimit -n`, or play it with --virtual",
        s.most_open(),
        s.relays.count * s.server_count(),
        limit.rlim_cur,
        limit.rlim_max
    ))
}

/// Where the relays listen: free ports of an address each, or those that the scenario names.
fn listens(s: &Scenario) -> Result<Vec<SocketAddr>, String> {
    let one = |relay: usize| {
        if s.relays.first_port == 0 {
            return Ok(free_port(Ipv4Addr::new(127, 8, (relay / 250) as u8, (relay % 250 + 1) as u8))?);
        }
        let port = s.relays.first_port.checked_add(relay as u16);
        let port = port.ok_or("relays.first_port: there are no ports behind it")?;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let bound = TcpListener::bind(addr);
        bound.map(|_| addr).map_err(|e| format!("relays.first_port: {addr} is not free: {e}"))
    };
    (0..s.relays.count).map(one).collect()
}

/// Each has addresses of its own towards each server, 127.16 to 127.79.
const MOST_RELAYS: usize = 64;

struct Relay {
    process: Option<Process>,
    /// It was told to stop, so its end is no crash.
    stopping: bool,
    figures: RelayFigures,
    /// CPU of the processes before this one.
    before: f64,
    config: PathBuf,
    log: PathBuf,
    /// Where this process, and the one before it, answers operators; none where none calls.
    operator: Option<SocketAddr>,
    /// It stands still, by a trouble.
    stalled: bool,
    /// Whether an answer on the fleet is awaited.
    asked: Rc<Cell<bool>>,
}

struct Stage<'a> {
    s: &'a Scenario,
    seed: u64,
    host: Shared,
    /// Addresses for the emulated links, where relays know each other.
    addresses: Option<RelayAddresses>,
    relays: Vec<Relay>,
    options: &'a Options<'a>,
}

/// Plays a day. What it started has ended when this returns, or is dropped.
pub async fn run(
    s: &Scenario,
    seed: u64,
    options: &Options<'_>,
    interrupted: impl Future<Output = ()>,
) -> Result<Outcome, String> {
    enough_descriptors(s, descriptors(s))?;
    std::fs::create_dir_all(options.out).map_err(|e| format!("{}: {e}", options.out.display()))?;
    if s.relays.count > MOST_RELAYS {
        let count = s.relays.count;
        return Err(format!(
            "relays.count is {count}: on sockets {MOST_RELAYS} at most, play it with --virtual"
        ));
    }
    let addresses = if s.relays.fleet { Some(RelayAddresses::free(s.relays.count)?) } else { None };
    let (places, listens) = (endpoint_addresses(s.relays.count, s.server_count())?, listens(s)?);
    let clock = Clock::anchored();
    // Relays start and standing sessions come up before the day begins.
    let before = 1_000_000 + s.load.standing as u64 * 500;
    let host = Host::new(Day::new(s, seed, clock.now() + before), clock, places, listens);
    let mut stage = Stage { s, seed, host, addresses, relays: Vec::new(), options };
    stage.serve_fleet().await?;
    if let Some(addresses) = &stage.addresses {
        links::serve(addresses.clone(), &stage.host).await?;
    }
    for relay in 0..s.relays.count {
        let file = |end: &str| options.out.join(format!("relay-{relay}.{end}"));
        let (config, log) = (file("json"), file("log"));
        _ = std::fs::remove_file(&log);
        // Each day begins with nothing kept.
        _ = std::fs::remove_dir_all(file("state"));
        let figures = RelayFigures::default();
        stage.relays.push(Relay {
            process: None,
            stopping: false,
            figures,
            before: 0.0,
            config,
            log,
            operator: None,
            stalled: false,
            asked: Rc::default(),
        });
        stage.start(relay)?;
    }
    for relay in 0..s.relays.count {
        stage.comes_up(relay).await?;
    }
    let servers = s.server_count();
    stage.host.with(|day, now, todo| day.clients.open_pre_existing(now, servers, &mut todo.client_actions));
    tokio::task::spawn_local(malformed::run(stage.host.clone()));
    let partial = stage.play(interrupted).await?;
    let outcome = stage.finish(partial).await;
    Ok(outcome)
}

impl Stage<'_> {
    async fn serve_fleet(&self) -> Result<(), String> {
        serve_fleet(&self.host).await
    }

    fn start(&mut self, relay: usize) -> Result<(), String> {
        let process = self.process(relay)?;
        let r = &mut self.relays[relay];
        (r.process, r.stopping, r.stalled) = (Some(process), false, false);
        Ok(())
    }

    /// A process of a relay, beside one that may run; it reads a configuration of its own.
    fn process(&mut self, relay: usize) -> Result<Process, String> {
        let operated =
            self.s.relays.fleet || self.s.troubles.iter().any(|t| t.kind == TroubleKind::RelayReplaced);
        let r = &mut self.relays[relay];
        r.figures.starts += 1;
        let starts = u64::from(r.figures.starts);
        let seed = mix(self.seed ^ (relay as u64) << 32 ^ starts << 48);
        let ip = Ipv4Addr::new(127, 11, (relay / 250) as u8, (relay % 250 + 1) as u8);
        r.operator = if operated { Some(free_port(ip)?) } else { None };
        let place = self.place(relay, seed);
        let r = &self.relays[relay];
        write_config(self.s, &place, &self.host, &r.config)?;
        Process::start(&self.options.program, &r.config, &r.log, operated.then_some(self.options.out))
    }

    fn place(&self, relay: usize, seed: u64) -> RelayPlacement {
        let membership = self
            .addresses
            .as_ref()
            .map(|all| MembershipAddresses { listen: all.listen[relay], advertised: all.advertised.clone() });
        let state = self.options.out.join(format!("relay-{relay}.state")).display().to_string();
        let state = self.s.relays.state.then_some(state);
        RelayPlacement {
            operator: self.relays[relay].operator,
            state,
            membership,
            ..place(relay, seed, &self.host)
        }
    }

    /// Polls all relays that are up for their views of each other.
    fn poll_views(&self) {
        for (relay, r) in self.relays.iter().enumerate() {
            let Some(at) = r.operator.filter(|_| r.process.is_some() && !r.stalled) else { continue };
            if r.asked.replace(true) {
                continue;
            }
            let (host, asked) = (self.host.clone(), r.asked.clone());
            tokio::task::spawn_local(async move {
                if let Ok(status) = hallrelay_relay::operator_client::fleet_status(at).await {
                    host.with(|day, now, _| day.membership_audit.status_reported(now, relay, &status));
                }
                asked.set(false);
            });
        }
    }

    /// A new process takes the place of the running one, which is told to stop once that serves.
    async fn replace(&mut self, relay: usize) -> Result<(), String> {
        if self.relays[relay].process.is_none() {
            return Ok(());
        }
        let new = self.process(relay)?;
        let r = &mut self.relays[relay];
        let Some(mut old) = r.process.replace(new) else { return Ok(()) };
        r.before += old.figures().map_or(0.0, |f| f.cpu_s);
        let (host, at) = (self.host.clone(), r.operator);
        tokio::task::spawn_local(async move {
            // As operators do it: the old one is told once the new one says yes, or it stays.
            const STEPS: u32 = 300;
            for _ in 0..STEPS {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let Some(at) = at else { break };
                if hallrelay_relay::operator_client::is_ready(at).await {
                    old.signal(libc::SIGTERM);
                    break;
                }
            }
            while old.ended().is_none() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            host.with(|day, now, _| day.service.log_event(now, format!("relay {relay} is replaced")));
        });
        Ok(())
    }

    /// Waits till a relay answers; one that ends before it does will not.
    async fn comes_up(&mut self, relay: usize) -> Result<(), String> {
        let host = self.host.clone();
        let mut answers = std::pin::pin!(host.relay_started(relay, Duration::from_secs(10)));
        let why = loop {
            tokio::select! {
                up = &mut answers => match up {
                    true => return Ok(()),
                    false => break "does not answer PING within 10 s".to_string(),
                },
                () = tokio::time::sleep(Duration::from_millis(20)) => {}
            }
            if let Some(status) = self.relays[relay].process.as_mut().and_then(Process::ended) {
                break format!("ended before it served ({})", how(status));
            }
        };
        let log = tail(&self.relays[relay].log);
        Err(format!("relay {relay} {why}; the last that it logged:\n{log}"))
    }

    /// The day; why it ended before its time, if it did.
    async fn play(&mut self, interrupted: impl Future<Output = ()>) -> Result<Option<String>, String> {
        let host = self.host.clone();
        let mut day = std::pin::pin!(host.clone().run());
        let mut interrupted = std::pin::pin!(interrupted);
        // Figures are read, and ends are seen, this often.
        let mut look = tokio::time::interval(Duration::from_millis(100));
        let mut looked = 0u64;
        loop {
            tokio::select! {
                () = &mut day => return Ok(None),
                () = &mut interrupted => return Ok(Some("interrupted".to_string())),
                commands = host.next_relay_commands() => {
                    for RelayCommand { relay, action: deed } in commands {
                        self.deed(relay, deed).await?;
                    }
                }
                _ = look.tick() => {
                    looked += 1;
                    self.look(looked);
                    if self.s.relays.fleet {
                        self.poll_views();
                    }
                }
            }
        }
    }

    fn look(&mut self, looked: u64) {
        let (now, begin, end) = {
            let day = self.host.day.borrow();
            (self.host.now(), day.begin, day.end)
        };
        (self.options.progress)(now.saturating_sub(begin) as f64 / (end - begin) as f64);
        for relay in 0..self.relays.len() {
            let r = &mut self.relays[relay];
            let Some(process) = &mut r.process else { continue };
            if let Some(status) = process.ended() {
                r.process = None;
                r.before = r.figures.cpu_s;
                if !r.stopping {
                    r.figures.crashed = true;
                }
                let what = if r.stopping { "has stopped" } else { "CRASHED" };
                let text = format!("relay {relay} {what} ({})", how(status));
                let host = self.host.clone();
                host.with(|day, now, _| day.service.log_event(now, text));
                host.relay_ended(relay);
            } else if looked.is_multiple_of(5) {
                self.count(relay);
            }
        }
    }

    fn count(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        let Some(now) = r.process.as_ref().and_then(Process::figures) else { return };
        r.figures.cpu_s = r.before + now.cpu_s;
        r.figures.resident_mb = r.figures.resident_mb.max(now.resident_mb);
        r.figures.descriptors = r.figures.descriptors.max(now.descriptors);
    }

    async fn deed(&mut self, relay: usize, deed: RelayAction) -> Result<(), String> {
        let host = self.host.clone();
        match deed {
            RelayAction::Kill => self.kill(relay).await,
            RelayAction::Stop => {
                let r = &mut self.relays[relay];
                r.stopping = true;
                host.relay_stopping(relay);
                if let Some(process) = &r.process {
                    process.signal(libc::SIGTERM);
                }
            }
            RelayAction::Start => {
                self.kill(relay).await;
                self.start(relay)?;
                let host = self.host.clone();
                tokio::task::spawn_local(async move {
                    _ = host.relay_started(relay, Duration::from_secs(10)).await;
                });
            }
            // Refused at the start: operators' calls are not played here.
            RelayAction::RequestLease(_) => {}
            RelayAction::Stall => {
                let r = &mut self.relays[relay];
                if let Some(process) = r.process.as_ref().filter(|_| !r.stalled) {
                    process.signal(libc::SIGSTOP);
                    r.stalled = true;
                    host.set_relay_stalled(relay, true);
                }
            }
            RelayAction::Resume => {
                let r = &mut self.relays[relay];
                if let Some(process) = r.process.as_ref().filter(|_| r.stalled) {
                    process.signal(libc::SIGCONT);
                    r.stalled = false;
                    host.set_relay_stalled(relay, false);
                }
            }
            RelayAction::Replace => self.replace(relay).await?,
            RelayAction::Reload => {
                let before = host.list_addresses.borrow()[relay];
                host.list_moves.borrow()[relay].send_modify(|n| *n += 1);
                while host.list_addresses.borrow()[relay] == before {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let (place, r) = (self.place(relay, 1), &self.relays[relay]);
                write_config(self.s, &place, &host, &r.config)?;
                if let Some(process) = &r.process {
                    process.signal(libc::SIGHUP);
                }
            }
        }
        Ok(())
    }

    /// Outright; whom it held asks again.
    async fn kill(&mut self, relay: usize) {
        self.count(relay);
        let r = &mut self.relays[relay];
        let Some(mut process) = r.process.take() else { return };
        r.before = r.figures.cpu_s;
        self.host.relay_ended(relay);
        process.kill().await;
    }

    async fn finish(mut self, partial: Option<String>) -> Outcome {
        (0..self.relays.len()).for_each(|relay| self.count(relay));
        let mut outcome = self.host.day.borrow().outcome();
        for r in &mut self.relays {
            if let Some(process) = &mut r.process {
                process.kill().await;
            }
        }
        outcome.relays = self.relays.iter().map(|r| r.figures.clone()).collect();
        outcome.mode = "sockets".to_string();
        outcome.partial = partial;
        outcome.max_delay_ms = self.host.max_delay.get() as f64 / 1e3;
        outcome.malformed_clients = self.host.malformed_clients.borrow().clone();
        outcome
    }
}

/// Servers and list services of all relays.
pub async fn serve_fleet(host: &Shared) -> Result<(), String> {
    for relay in 0..host.servers.len() {
        let first = list::bind(relay, host).await.ok_or("no free port for the list service")?;
        tokio::task::spawn_local(list::serve(relay, first, host.clone()));
        for at in 0..host.servers[relay].len() {
            tokio::task::spawn_local(server::listen(at, relay, host.clone()));
        }
    }
    Ok(())
}

/// Where a relay finds what it serves; operators and other relays come beside it.
pub fn place(relay: usize, seed: u64, host: &Shared) -> RelayPlacement {
    let (listen, discovery) = (host.relays.borrow()[relay], host.list_addresses.borrow()[relay]);
    RelayPlacement { relay, listen, discovery, seed, operator: None, state: None, membership: None }
}

/// A relay's configuration as operators would write it.
pub fn write_config(s: &Scenario, place: &RelayPlacement, host: &Shared, file: &Path) -> Result<(), String> {
    let day = host.day.borrow();
    let text = node::text(s, place, &day.servers.endpoints, |at| host.servers[place.relay][at].to_string());
    let text = serde_json::to_string_pretty(&text).map_err(|e| e.to_string())?;
    std::fs::write(file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
}
