//! A single server: overload while it warms up, queued work, and capacity during warm-up.
use hallrelay_emulator::server::{Machine, Server, ServerState, CORE};

fn machine() -> Machine {
    Machine {
        cores: 2,
        speed: CORE,
        initial_capacity: 0.25,
        warm_up: 20_000_000,
        warms_at_end: true,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
    }
}

fn started() -> Server {
    let mut server = Server::new(machine(), 0);
    server.restart(1_000_000);
    server
}

/// The capacity is 0.5 cores during warm-up, so a demand of 1.5 cores for 2 s overloads the server.
#[test]
fn sustained_demand_overloads_exactly_at_the_budget() {
    for (demand, until, is_overloaded) in [
        (1_500_000, 3_000_000, true),
        (1_500_000, 2_999_999, false),
        (1_499_999, 20_000_000, false),
        (1_500_000, 2_980_000, false),
    ] {
        let mut server = started();
        server.change_demand(demand, 0, true);
        assert_eq!(server.advance(until), is_overloaded, "demand {demand} until {until}");
        assert_eq!(server.state == ServerState::Overloaded, is_overloaded);
    }
}

#[test]
fn burst_of_the_full_budget_overloads() {
    let budget = 1_500_000 * 2_000_000;
    let mut server = started();
    assert!(!server.add_work(1_000_000, budget - 1, true));
    assert!(server.add_work(1_000_000, 1, true));
    assert!(server.is_overload_by_notified());
    let mut unnotified = started();
    assert!(unnotified.add_work(1_000_000, budget, false));
    assert!(!unnotified.is_overload_by_notified());
}

/// Work older than the window does not count, and a server that has warmed up is never overloaded.
#[test]
fn neither_old_work_nor_warm_server_overloads() {
    let mut server = started();
    server.add_work(1_000_000, 1_500_000 * 1_900_000, true);
    assert!(!server.advance(3_100_000));
    assert!(!server.add_work(3_100_000, 1_500_000 * 1_900_000, true));
    let mut warm = Server::new(machine(), 0);
    warm.change_demand(90_000_000, 0, true);
    assert!(!warm.advance(60_000_000));
}

#[test]
fn excess_work_is_queued_and_processed_later() {
    let mut server = Server::new(machine(), 0);
    server.change_demand(3_000_000, 0, true);
    server.advance(1_000_000);
    assert_eq!(server.message_delay(1_000_000), 500_000);
    server.change_demand(0, 3_000_000, true);
    server.advance(1_250_000);
    assert_eq!(server.message_delay(1_250_000), 250_000);
    server.slowdown = 2 * CORE;
    assert_eq!(server.message_delay(1_250_000), 500_000);
    server.stalled_since = Some(1_250_000);
    server.advance(1_350_000);
    assert_eq!(server.message_delay(1_350_000), 600_000);
}

#[test]
fn capacity_grows_linearly_during_warm_up() {
    let mut server = Server::new(Machine { warms_at_end: false, ..machine() }, 0);
    server.restart(1_000_000);
    assert_eq!(server.capacity(1_000_000), 500_000);
    assert_eq!(server.capacity(11_000_000), 1_250_000);
    assert_eq!(server.capacity(21_000_000), 2_000_000);
}
