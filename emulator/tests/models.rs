//! The models without relays: servers, the endpoint list, clients and the front.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::clients::{ClientAction, ClientEvent, ClientRequest, Clients};
use hallrelay_emulator::servers::{
    ConnectionId, DialRequest, Reachability, ServerEvent, ServerLine, Servers,
};

const BEGIN: Micros = 1_000_000_000;
const SECOND: Micros = 1_000_000;

fn scenario_with(servers: &str, more: &str) -> Scenario {
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
    scenario::parse("models", &text).unwrap_or_else(|error| panic!("invalid scenario: {error}\n{text}"))
}

struct Simulation {
    servers: Servers,
    events: Vec<ServerEvent>,
}

impl Simulation {
    fn new(scenario: &Scenario) -> Simulation {
        Simulation { servers: Servers::new(scenario, 1, BEGIN), events: Vec::new() }
    }

    /// Steps the servers until a time after the start of the day. Returns the events since the last call.
    fn run_until(&mut self, at: Micros) -> Vec<ServerEvent> {
        self.servers.step(BEGIN + at, &mut self.events);
        std::mem::take(&mut self.events)
    }

    fn dial(&mut self, at: Micros, connection: ConnectionId, server: usize) {
        let request = DialRequest { server, key: connection, ..DialRequest::default() };
        self.servers.step(BEGIN + at, &mut self.events);
        self.servers.dial_received(BEGIN + at, connection, &request, &mut self.events);
    }
}

/// The first line that a server sent on a connection.
fn line_on(events: &[ServerEvent], connection: ConnectionId) -> Option<ServerLine> {
    events.iter().find_map(|event| match event {
        ServerEvent::Line { connection: id, line } if *id == connection => Some(*line),
        _ => None,
    })
}

#[test]
fn server_at_cap_rejects_until_a_session_ends() {
    let mut simulation = Simulation::new(&scenario_with("cap_per_core = 2", ""));
    (1..=3).for_each(|connection| simulation.dial(0, connection, 0));
    let events = simulation.run_until(SECOND);
    assert_eq!(
        [1, 2, 3].map(|connection| line_on(&events, connection)),
        [Some(ServerLine::Up), Some(ServerLine::Up), Some(ServerLine::Busy)]
    );
    simulation.servers.connection_closed(BEGIN + SECOND, 1, &mut simulation.events);
    simulation.dial(SECOND, 4, 0);
    assert_eq!(line_on(&simulation.run_until(2 * SECOND), 4), Some(ServerLine::Up));
}

/// A group adds its cost once to each server that has at least one of its sessions.
#[test]
fn group_cost_is_counted_once_per_server() {
    let scenario = scenario_with("group_cost = 0.5", "");
    let mut simulation = Simulation::new(&scenario);
    for connection in 1..=2 {
        let request = DialRequest { server: 0, key: connection, group: 77, ..DialRequest::default() };
        simulation.servers.dial_received(BEGIN, connection, &request, &mut simulation.events);
    }
    simulation.run_until(SECOND);
    assert!((simulation.servers.load(0) - 0.25).abs() < 1e-6, "{}", simulation.servers.load(0));
    simulation.servers.connection_closed(BEGIN + SECOND, 1, &mut simulation.events);
    assert!((simulation.servers.load(0) - 0.15).abs() < 1e-6, "{}", simulation.servers.load(0));
    simulation.servers.connection_closed(BEGIN + SECOND, 2, &mut simulation.events);
    assert!(simulation.servers.load(0) < 1e-6);
}

/// The store processes sessions one at a time, and sessions that would wait too long are rejected.
#[test]
fn shared_store_has_bounded_queue() {
    let mut simulation = Simulation::new(&scenario_with("store_per_s = 10\nsetup_ms = 0.01", ""));
    (1..=24).for_each(|connection| simulation.dial(0, connection, connection as usize % 4));
    let events = simulation.run_until(SECOND + 1000);
    let established =
        events.iter().filter(|event| matches!(event, ServerEvent::Line { line: ServerLine::Up, .. })).count();
    let rejected = events
        .iter()
        .filter(|event| matches!(event, ServerEvent::Line { line: ServerLine::Busy, .. }))
        .count();
    assert_eq!((established, rejected), (10, 3));
}

/// A crash resets and refuses connections at once, and is listed later. The server warms up after its return.
#[test]
fn crashed_server_is_listed_late_and_returns_cold() {
    let crash = "[[trouble]]\nkind = \"crash\"\nat_s = 2\nlength_s = 5\nshare = 1";
    let mut simulation = Simulation::new(&scenario_with("cold_s = 10\ncold_from = 0.2", crash));
    simulation.dial(0, 1, 0);
    simulation.run_until(SECOND);
    let events = simulation.run_until(2 * SECOND);
    assert!(events.contains(&ServerEvent::Reset { connection: 1 }));
    assert_eq!(simulation.servers.reachability(0, 0), Reachability::Refused);
    assert_eq!(simulation.servers.endpoints.entry(0).phase, Phase::Ready);
    assert!(simulation.run_until(3 * SECOND).contains(&ServerEvent::EndpointListChanged));
    assert_eq!(simulation.servers.endpoints.entry(0).phase, Phase::Gone);
    simulation.run_until(7 * SECOND);
    assert_eq!(
        (simulation.servers.reachability(0, 0), simulation.servers.endpoints.entry(0).phase),
        (Reachability::Open, Phase::Gone)
    );
    simulation.run_until(7 * SECOND + SECOND / 2);
    let entry = simulation.servers.endpoints.entry(0);
    assert_eq!((entry.phase, entry.started_at), (Phase::Ready, BEGIN + 7 * SECOND));
    // One session takes 0.1 cores, and 0.2 cores are available at the start of the warm-up.
    simulation.dial(7 * SECOND + SECOND / 2, 2, 0);
    simulation.run_until(7 * SECOND + SECOND / 2 + 20_000);
    assert!(simulation.servers.load(0) > 0.3, "{}", simulation.servers.load(0));
}

#[test]
fn silent_server_sends_nothing_until_reset_on_return() {
    let vanish = "[[trouble]]\nkind = \"vanish\"\nat_s = 2\nlength_s = 5\nshare = 1";
    let mut simulation = Simulation::new(&scenario_with("", vanish));
    simulation.dial(0, 1, 0);
    simulation.run_until(SECOND);
    simulation.dial(2 * SECOND - 1, 2, 0);
    let events = simulation.run_until(4 * SECOND);
    assert_eq!(
        (simulation.servers.reachability(0, 0), simulation.servers.can_send(0, 0)),
        (Reachability::Unresponsive, false)
    );
    assert!(line_on(&events, 2).is_none() && !events.contains(&ServerEvent::Reset { connection: 1 }));
    let events = simulation.run_until(7 * SECOND);
    assert!(
        events.contains(&ServerEvent::Reset { connection: 1 })
            && events.contains(&ServerEvent::Reset { connection: 2 })
    );
}

#[test]
fn cut_zone_is_unreachable_only_from_other_zones() {
    let cut = "[[trouble]]\nkind = \"zone-cut\"\nat_s = 1\nlength_s = 2\nzone = \"b\"";
    let mut simulation = Simulation::new(&scenario_with("", cut));
    simulation.run_until(SECOND);
    let reachability = |simulation: &Simulation| {
        [(0, 0), (0, 1), (1, 0), (1, 1)].map(|(server, relay)| simulation.servers.reachability(server, relay))
    };
    assert_eq!(
        reachability(&simulation),
        [Reachability::Open, Reachability::Unresponsive, Reachability::Unresponsive, Reachability::Open]
    );
    simulation.run_until(3 * SECOND);
    assert_eq!(reachability(&simulation), [Reachability::Open; 4]);
}

#[test]
fn reports_are_delayed_and_scaled_by_lies_fault() {
    let lies = "[[trouble]]\nkind = \"lies\"\nat_s = 4\nlength_s = 20\nstrength = 0.5\nshare = 1";
    let mut simulation = Simulation::new(&scenario_with("", lies));
    (1..=4).for_each(|connection| simulation.dial(0, connection, 0));
    let load = |simulation: &mut Simulation, at: Micros| {
        simulation.run_until(at);
        simulation.servers.answer_probe(BEGIN + at, 0, 0, &mut simulation.events).1.load
    };
    assert_eq!(load(&mut simulation, 10_000), 0.0);
    assert!((load(&mut simulation, 3 * SECOND) - 0.4).abs() < 1e-3);
    assert!((load(&mut simulation, 6 * SECOND) - 0.2).abs() < 1e-3);
}

/// Removes all actions and returns the requests among them.
fn take_requests(out: &mut Vec<ClientAction>) -> Vec<ClientRequest> {
    let requests = out.drain(..).filter_map(|action| match action {
        ClientAction::Open(request) => Some(request),
        ClientAction::Leave { .. } => None,
    });
    requests.collect()
}

/// The first request sent within 5 s, with a front that distributes only to relay 0.
fn first_request(clients: &mut Clients) -> (Micros, ClientRequest) {
    clients.set_relay_serving(BEGIN, 0, true);
    let mut out = Vec::new();
    for at in (BEGIN..BEGIN + 5 * SECOND).step_by(10_000) {
        clients.step(at, &mut out);
        if let Some(request) = take_requests(&mut out).into_iter().next() {
            return (at, request);
        }
    }
    panic!("no client sent a request within 5 s");
}

/// Requests that the client sends within 1 s after an event of its connection.
fn requests_after(
    clients: &mut Clients,
    request: &ClientRequest,
    at: Micros,
    event: ClientEvent,
) -> Vec<ClientRequest> {
    assert!(clients.handle(at, request.mark, event));
    let mut out = Vec::new();
    clients.step(at + SECOND, &mut out);
    take_requests(&mut out).into_iter().filter(|next| next.key == request.key).collect()
}

#[test]
fn client_retries_up_to_its_limit() {
    let mut clients = Clients::new(&scenario_with("", "[clients]\nretries = 1"), 1, BEGIN);
    let (at, request) = first_request(&mut clients);
    let second = requests_after(&mut clients, &request, at, ClientEvent::Failed);
    assert_eq!(second.len(), 1);
    assert!(second[0].retry && !second[0].returned && second[0].mark != request.mark && second[0].relay == 0);
    assert_eq!(requests_after(&mut clients, &second[0], at + SECOND, ClientEvent::Rejected(0)), []);
}

/// Rule 2 also applies to clients: they do not retry a session that may have run, only one that never ran.
#[test]
fn once_only_client_retries_only_if_never_run() {
    for (event, retries) in [
        (ClientEvent::Failed, 0),
        (ClientEvent::Closed, 0),
        (ClientEvent::Rejected(0), 1),
        (ClientEvent::Unreachable, 1),
    ] {
        let mut clients = Clients::new(&scenario_with("", "#once"), 1, BEGIN);
        let (at, request) = first_request(&mut clients);
        assert_eq!(requests_after(&mut clients, &request, at, event).len(), retries, "{event:?}");
    }
}

#[test]
fn migrated_client_returns_with_all_retries() {
    let mut clients = Clients::new(&scenario_with("", "[clients]\nretries = 1"), 1, BEGIN);
    let (at, request) = first_request(&mut clients);
    assert!(clients.handle(at, request.mark, ClientEvent::Established));
    let back = requests_after(&mut clients, &request, at, ClientEvent::Migrated);
    assert_eq!((back.len(), clients.moves), (1, 1));
    assert!(back[0].returned && !back[0].retry && back[0].group == request.group);
    assert!(
        !clients.handle(at, request.mark, ClientEvent::Closed),
        "the old mark must be unknown after a migration"
    );
}

/// Open-loop arrivals follow steps and bursts immediately, regardless of the outcome of earlier clients.
#[test]
fn arrivals_follow_steps_and_bursts() {
    let mut scenario = scenario_with("", "");
    scenario.load.steps =
        vec![scenario::Step { at_s: scenario::Span(20 * SECOND), times: scenario::NonNegative(4.0) }];
    let mut clients = Clients::new(&scenario, 1, BEGIN);
    let arrivals_until = |clients: &mut Clients, until: Micros| {
        let before = clients.counts[0].first_attempts;
        clients.step(BEGIN + until, &mut Vec::new());
        clients.counts[0].first_attempts - before
    };
    let (initial, stepped) =
        (arrivals_until(&mut clients, 20 * SECOND), arrivals_until(&mut clients, 40 * SECOND));
    clients.set_arrival_factor(0.25);
    let reduced = arrivals_until(&mut clients, 60 * SECOND);
    // The means are 100, 400 and 100; four standard deviations are 40 and 80.
    assert!(
        (60..=140).contains(&initial) && (320..=480).contains(&stepped),
        "{initial} arrivals, then {stepped}"
    );
    assert!((60..=140).contains(&reduced), "{reduced} arrivals");
}

/// A delayed notice that a relay ended must be ignored if the relay has started again since. Otherwise the
/// front would send no clients to the only relay.
#[test]
fn front_ignores_end_notice_of_restarted_relay() {
    let mut clients = Clients::new(&scenario_with("", "[clients]\nfront_notice_s = [3, 3]"), 1, BEGIN);
    let (at, _) = first_request(&mut clients);
    clients.set_relay_serving(at, 0, false);
    clients.set_relay_serving(at + SECOND, 0, true);
    let mut out = Vec::new();
    clients.step(at + 10 * SECOND, &mut out);
    let count = take_requests(&mut out).len();
    assert!(count > 20, "{count} requests in 10 s at 5 arrivals per second");
}
