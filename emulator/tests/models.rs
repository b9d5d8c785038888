//! The models by themselves, without relays: what a server, the list, a client and the front do.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::clients::{ClientAction, ClientEvent, ClientRequest, Clients};
use hallrelay_emulator::servers::{
    ConnectionId, DialRequest, Reachability, ServerEvent, ServerLine, Servers,
};

const BEGIN: Micros = 1_000_000_000;
const SECOND: Micros = 1_000_000;

fn day(servers: &str, more: &str) -> Scenario {
    let text = format!(
        "name = \"models\"\nlength_s = 60\n[relays]\ncount = 2\n[servers]\nzones = [\"a\", \"b\"]\n\
         per_core = 10\nreport_noise = 0\nreport_every_ms = [500, 500]\n\
         report_late_ms = [100, 100]\n{servers}\n\
         [[servers.kind]]\nname = \"one\"\ncount = 4\ncores = 1\nspeed = 1.0\n\
         [[listener]]\nname = \"low\"\nshare = 1\nutility = 1\nhandshake_target_ms = 300\n\
         dial_timeout_ms = 2000\nmessage_target_ms = 60\nlife_s = 30\nload_sigma = 0\nswing_sigma = 0\n\
         {}\n[load]\nrate = 5\n[list]\nnotice_s = [1, 1]\nadd_s = [0.5, 0.5]\n{more}",
        if more.contains("#once") { "repeat = \"once-only\"" } else { "" }
    );
    scenario::parse("models", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

struct Play {
    servers: Servers,
    told: Vec<ServerEvent>,
}

impl Play {
    fn new(s: &Scenario) -> Play {
        Play { servers: Servers::new(s, 1, BEGIN), told: Vec::new() }
    }

    /// What is told until a time after the beginning.
    fn until(&mut self, at: Micros) -> Vec<ServerEvent> {
        self.servers.step(BEGIN + at, &mut self.told);
        std::mem::take(&mut self.told)
    }

    fn dial(&mut self, at: Micros, conn: ConnectionId, server: usize) {
        let d = DialRequest { server, key: conn, ..DialRequest::default() };
        self.servers.step(BEGIN + at, &mut self.told);
        self.servers.dial_received(BEGIN + at, conn, &d, &mut self.told);
    }
}

fn word(told: &[ServerEvent], conn: ConnectionId) -> Option<ServerLine> {
    told.iter().find_map(|t| match t {
        ServerEvent::Line { connection: c, line: word } if *c == conn => Some(*word),
        _ => None,
    })
}

#[test]
fn a_full_server_turns_away_and_has_room_again() {
    let mut p = Play::new(&day("cap_per_core = 2", ""));
    (1..=3).for_each(|conn| p.dial(0, conn, 0));
    let told = p.until(SECOND);
    assert_eq!(
        [1, 2, 3].map(|c| word(&told, c)),
        [Some(ServerLine::Up), Some(ServerLine::Up), Some(ServerLine::Busy)]
    );
    p.servers.connection_closed(BEGIN + SECOND, 1, &mut p.told);
    p.dial(SECOND, 4, 0);
    assert_eq!(word(&p.until(2 * SECOND), 4), Some(ServerLine::Up));
}

/// A group costs each server that holds any of it, once.
#[test]
fn groups_cost_once_a_server() {
    let s = day("group_cost = 0.5", "");
    let mut p = Play::new(&s);
    for conn in 1..=2 {
        let d = DialRequest { server: 0, key: conn, group: 77, ..DialRequest::default() };
        p.servers.dial_received(BEGIN, conn, &d, &mut p.told);
    }
    p.until(SECOND);
    assert!((p.servers.load(0) - 0.25).abs() < 1e-6, "{}", p.servers.load(0));
    p.servers.connection_closed(BEGIN + SECOND, 1, &mut p.told);
    assert!((p.servers.load(0) - 0.15).abs() < 1e-6, "{}", p.servers.load(0));
    p.servers.connection_closed(BEGIN + SECOND, 2, &mut p.told);
    assert!(p.servers.load(0) < 1e-6);
}

/// The store takes sessions in one after the other, and turns away what would wait too long.
#[test]
fn the_store_is_shared_and_its_queue_bounded() {
    let mut p = Play::new(&day("store_per_s = 10\nsetup_ms = 0.01", ""));
    (1..=24).for_each(|conn| p.dial(0, conn, conn as usize % 4));
    let told = p.until(SECOND + 1000);
    let ups = told.iter().filter(|t| matches!(t, ServerEvent::Line { line: ServerLine::Up, .. })).count();
    let busy = told.iter().filter(|t| matches!(t, ServerEvent::Line { line: ServerLine::Busy, .. })).count();
    assert_eq!((ups, busy), (10, 3));
}

#[test]
fn a_crash_resets_refuses_and_is_listed_late_and_a_return_is_cold() {
    let crash = "[[trouble]]\nkind = \"crash\"\nat_s = 2\nlength_s = 5\nshare = 1";
    let mut p = Play::new(&day("cold_s = 10\ncold_from = 0.2", crash));
    p.dial(0, 1, 0);
    p.until(SECOND);
    let told = p.until(2 * SECOND);
    assert!(told.contains(&ServerEvent::Reset { connection: 1 }));
    assert_eq!(p.servers.reachability(0, 0), Reachability::Refused);
    assert_eq!(p.servers.endpoints.entry(0).phase, Phase::Ready);
    assert!(p.until(3 * SECOND).contains(&ServerEvent::EndpointListChanged));
    assert_eq!(p.servers.endpoints.entry(0).phase, Phase::Gone);
    p.until(7 * SECOND);
    assert_eq!(
        (p.servers.reachability(0, 0), p.servers.endpoints.entry(0).phase),
        (Reachability::Open, Phase::Gone)
    );
    p.until(7 * SECOND + SECOND / 2);
    let entry = p.servers.endpoints.entry(0);
    assert_eq!((entry.phase, entry.started_at), (Phase::Ready, BEGIN + 7 * SECOND));
    // One session is a tenth of a core, and a fifth of one is there.
    p.dial(7 * SECOND + SECOND / 2, 2, 0);
    p.until(7 * SECOND + SECOND / 2 + 20_000);
    assert!(p.servers.load(0) > 0.3, "{}", p.servers.load(0));
}

#[test]
fn a_silent_machine_says_nothing_and_resets_as_it_returns() {
    let vanish = "[[trouble]]\nkind = \"vanish\"\nat_s = 2\nlength_s = 5\nshare = 1";
    let mut p = Play::new(&day("", vanish));
    p.dial(0, 1, 0);
    p.until(SECOND);
    p.dial(2 * SECOND - 1, 2, 0);
    let told = p.until(4 * SECOND);
    assert_eq!((p.servers.reachability(0, 0), p.servers.can_send(0, 0)), (Reachability::Unresponsive, false));
    assert!(word(&told, 2).is_none() && !told.contains(&ServerEvent::Reset { connection: 1 }));
    let told = p.until(7 * SECOND);
    assert!(
        told.contains(&ServerEvent::Reset { connection: 1 })
            && told.contains(&ServerEvent::Reset { connection: 2 })
    );
}

#[test]
fn a_cut_zone_is_out_of_reach_for_the_other_ones_relays_alone() {
    let cut = "[[trouble]]\nkind = \"zone-cut\"\nat_s = 1\nlength_s = 2\nzone = \"b\"";
    let mut p = Play::new(&day("", cut));
    p.until(SECOND);
    let reach = |p: &Play| [(0, 0), (0, 1), (1, 0), (1, 1)].map(|(s, r)| p.servers.reachability(s, r));
    assert_eq!(
        reach(&p),
        [Reachability::Open, Reachability::Unresponsive, Reachability::Unresponsive, Reachability::Open]
    );
    p.until(3 * SECOND);
    assert_eq!(reach(&p), [Reachability::Open; 4]);
}

#[test]
fn reports_are_late_and_lie_where_told() {
    let lies = "[[trouble]]\nkind = \"lies\"\nat_s = 4\nlength_s = 20\nstrength = 0.5\nshare = 1";
    let mut p = Play::new(&day("", lies));
    (1..=4).for_each(|conn| p.dial(0, conn, 0));
    let load = |p: &mut Play, at: Micros| {
        p.until(at);
        p.servers.answer_probe(BEGIN + at, 0, 0, &mut p.told).1.load
    };
    assert_eq!(load(&mut p, 10_000), 0.0);
    assert!((load(&mut p, 3 * SECOND) - 0.4).abs() < 1e-3);
    assert!((load(&mut p, 6 * SECOND) - 0.2).abs() < 1e-3);
}

fn asks(out: &mut Vec<ClientAction>) -> Vec<ClientRequest> {
    let asks = out.drain(..).filter_map(|d| match d {
        ClientAction::Open(ask) => Some(ask),
        ClientAction::Leave { .. } => None,
    });
    asks.collect()
}

/// The first client that asks within some seconds, at a front that knows relay 0 alone.
fn first(clients: &mut Clients) -> (Micros, ClientRequest) {
    clients.set_relay_serving(BEGIN, 0, true);
    let mut out = Vec::new();
    for at in (BEGIN..BEGIN + 5 * SECOND).step_by(10_000) {
        clients.step(at, &mut out);
        if let Some(ask) = asks(&mut out).into_iter().next() {
            return (at, ask);
        }
    }
    panic!("nobody came");
}

/// The next lines of that client within a second, once its line had this end.
fn again(clients: &mut Clients, ask: &ClientRequest, at: Micros, heard: ClientEvent) -> Vec<ClientRequest> {
    assert!(clients.handle(at, ask.mark, heard));
    let mut out = Vec::new();
    clients.step(at + SECOND, &mut out);
    asks(&mut out).into_iter().filter(|a| a.key == ask.key).collect()
}

#[test]
fn clients_try_again_as_often_as_they_may() {
    let mut clients = Clients::new(&day("", "[clients]\nretries = 1"), 1, BEGIN);
    let (at, ask) = first(&mut clients);
    let second = again(&mut clients, &ask, at, ClientEvent::Failed);
    assert_eq!(second.len(), 1);
    assert!(second[0].retry && !second[0].returned && second[0].mark != ask.mark && second[0].relay == 0);
    assert_eq!(again(&mut clients, &second[0], at + SECOND, ClientEvent::Rejected(0)), []);
}

/// Rule 2 is the client's as well: what may have run is not asked for again, what was refused is.
#[test]
fn once_only_clients_try_again_after_a_refusal_alone() {
    for (heard, times) in [
        (ClientEvent::Failed, 0),
        (ClientEvent::Closed, 0),
        (ClientEvent::Rejected(0), 1),
        (ClientEvent::Unreachable, 1),
    ] {
        let mut clients = Clients::new(&day("", "#once"), 1, BEGIN);
        let (at, ask) = first(&mut clients);
        assert_eq!(again(&mut clients, &ask, at, heard).len(), times, "{heard:?}");
    }
}

#[test]
fn a_moved_client_comes_again_with_all_its_tries() {
    let mut clients = Clients::new(&day("", "[clients]\nretries = 1"), 1, BEGIN);
    let (at, ask) = first(&mut clients);
    assert!(clients.handle(at, ask.mark, ClientEvent::Established));
    let back = again(&mut clients, &ask, at, ClientEvent::Migrated);
    assert_eq!((back.len(), clients.moves), (1, 1));
    assert!(back[0].returned && !back[0].retry && back[0].group == ask.group);
    assert!(!clients.handle(at, ask.mark, ClientEvent::Closed), "the old mark is over");
}

/// Open-loop arrivals follow steps and bursts at once, whatever becomes of those that came.
#[test]
fn arrivals_follow_steps_and_bursts() {
    let mut s = day("", "");
    s.load.steps =
        vec![scenario::Step { at_s: scenario::Span(20 * SECOND), times: scenario::NonNegative(4.0) }];
    let mut clients = Clients::new(&s, 1, BEGIN);
    let came = |clients: &mut Clients, until: Micros| {
        let before = clients.counts[0].first_attempts;
        clients.step(BEGIN + until, &mut Vec::new());
        clients.counts[0].first_attempts - before
    };
    let (calm, stepped) = (came(&mut clients, 20 * SECOND), came(&mut clients, 40 * SECOND));
    clients.set_arrival_factor(0.25);
    let quiet = came(&mut clients, 60 * SECOND);
    // 100, 400 and 100 in the mean; four standard deviations are 40 and 80.
    assert!((60..=140).contains(&calm) && (320..=480).contains(&stepped), "{calm} {stepped}");
    assert!((60..=140).contains(&quiet), "{quiet}");
}

/// Guards clients of the only relay: a notice of its end that comes when it is back counts for nothing.
#[test]
fn the_front_forgets_an_end_that_is_over() {
    let mut clients = Clients::new(&day("", "[clients]\nfront_notice_s = [3, 3]"), 1, BEGIN);
    let (at, _) = first(&mut clients);
    clients.set_relay_serving(at, 0, false);
    clients.set_relay_serving(at + SECOND, 0, true);
    let mut out = Vec::new();
    clients.step(at + 10 * SECOND, &mut out);
    let late = asks(&mut out).len();
    assert!(late > 20, "{late} came, at five a second");
}
