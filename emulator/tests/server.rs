//! One server by itself: overload while it warms up, queued work, warm-up.
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

/// Its capacity is half a core while it warms up, so 1.5 cores for two seconds overload it.
#[test]
fn falls_at_multiple_and_time_and_not_one_step_below() {
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
fn falls_by_one_burst_of_the_whole_budget() {
    let budget = 1_500_000 * 2_000_000;
    let mut server = started();
    assert!(!server.add_work(1_000_000, budget - 1, true));
    assert!(server.add_work(1_000_000, 1, true));
    assert!(server.is_overload_by_notified());
    let mut unnotified = started();
    assert!(unnotified.add_work(1_000_000, budget, false));
    assert!(!unnotified.is_overload_by_notified());
}

/// Work older than the window does not count; a server that has warmed up is never overloaded.
#[test]
fn old_work_leaves_the_window_and_warm_servers_stand() {
    let mut server = started();
    server.add_work(1_000_000, 1_500_000 * 1_900_000, true);
    assert!(!server.advance(3_100_000));
    assert!(!server.add_work(3_100_000, 1_500_000 * 1_900_000, true));
    let mut warm = Server::new(machine(), 0);
    warm.change_demand(90_000_000, 0, true);
    assert!(!warm.advance(60_000_000));
}

#[test]
fn work_piles_up_and_is_worked_off() {
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
fn warms_bit_by_bit() {
    let mut server = Server::new(Machine { warms_at_end: false, ..machine() }, 0);
    server.restart(1_000_000);
    assert_eq!(server.capacity(1_000_000), 500_000);
    assert_eq!(server.capacity(11_000_000), 1_250_000);
    assert_eq!(server.capacity(21_000_000), 2_000_000);
}
