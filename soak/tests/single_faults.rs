//! One fault, or a fixed combination of faults, against one relay process. Each test guards against a bug
//! that the soak test found with these faults, or is the simplest test of a rule. Some drawn schedules run
//! as well.
use hallrelay_soak::backend::Behaviour;
use hallrelay_soak::discovery::DiscoveryMode;
use hallrelay_soak::faults::SystemFault;
use hallrelay_soak::harness;
use hallrelay_soak::observations::ExitReason;
use hallrelay_soak::oracle::Rule;
use hallrelay_soak::plan::Plan;
use hallrelay_soak::report::Report;
use hallrelay_soak::schedule::{FaultKind, ScheduledFault};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hallrelay-soak");
const LENGTH: Duration = Duration::from_secs(8);
/// Maximum number of concurrent runs. With more, runs would compete for processor time, and the times that
/// the rules depend on would be wrong.
const CONCURRENT_RUNS: usize = 4;
/// Maximum number of runs of one plan.
const MAX_RUNS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

/// A permit to run, which is released to another test when it is dropped.
struct RunPermit;

impl RunPermit {
    fn acquire() -> RunPermit {
        let running = RUNNING.lock().expect("lock the number of running plans");
        let is_full = |running: &mut usize| *running >= CONCURRENT_RUNS;
        *RUN_ENDED.wait_while(running, is_full).expect("wait for a run permit") += 1;
        RunPermit
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *RUNNING.lock().expect("lock the number of running plans") -= 1;
        RUN_ENDED.notify_one();
    }
}

/// Runs a plan. If the harness' own threads ran late, the observed times are not evidence about the relay.
/// The plan is then run again, unless the run violated a rule that does not depend on time. The last run
/// always counts.
fn run(plan: &Plan) -> Report {
    let _permit = RunPermit::acquire();
    for _ in 1..MAX_RUNS {
        let report = harness::run(plan);
        if report.has_reliable_times()
            || report.violations.iter().any(|violation| !violation.rule.depends_on_time())
        {
            return report;
        }
        let Report { longest_lateness, violations, .. } = report;
        println!("seed {}: harness threads ran {longest_lateness:?} late; running the plan again", plan.seed);
        violations.iter().for_each(|violation| println!("seed {}: {violation}", plan.seed));
    }
    harness::run(plan)
}

fn scheduled_fault(kind: FaultKind, from_ms: u64, until_ms: u64) -> ScheduledFault {
    ScheduledFault { kind, from: Duration::from_millis(from_ms), until: Duration::from_millis(until_ms) }
}

/// A system call fault of the relay. `value` is the number of failures per thousand calls, or for slow calls
/// the delay of each in milliseconds.
fn system_calls(fault: SystemFault, value: i64) -> FaultKind {
    FaultKind::SystemCalls { relay: 0, fault, value }
}

/// Runs one relay with 30 new sessions per second. Each run needs a different seed, because the names of the
/// runs' folders contain the seed.
fn run_single_relay(seed: u64, faults: Vec<ScheduledFault>) -> Report {
    let plan = Plan::without_faults(seed, LENGTH, PROGRAM.into());
    let plan = Plan { relays: 1, sessions_per_second: 30.0, faults, ..plan };
    let report = run(&plan);
    let log = plan.folder.join("relay-0/log");
    println!(
        "{} sessions: {:?}, {} failed system calls injected",
        report.observations.sessions.len(),
        report.answers(),
        report.injected_failures
    );
    report.violations.iter().for_each(|violation| println!("{violation}"));
    assert!(
        report.observations.sessions.len() > 30,
        "{} sessions were requested, wanted more than 30; the relay's log is {}",
        report.observations.sessions.len(),
        log.display()
    );
    _ = std::fs::remove_dir_all(&plan.folder);
    report
}

fn assert_no_violations(report: &Report) {
    assert!(
        report.violations.is_empty(),
        "{} violations, the first: {}",
        report.violations.len(),
        report.violations[0]
    );
}

#[test]
fn all_sessions_succeed_without_faults() {
    let report = run_single_relay(1_001, vec![]);
    assert_no_violations(&report);
    assert_eq!(report.answers().len(), 1, "sessions got different answers: {:?}", report.answers());
}

#[test]
fn interrupted_reads_and_writes_lose_no_session() {
    let report = run_single_relay(
        1_002,
        vec![scheduled_fault(system_calls(SystemFault::InterruptedIo, 30), 500, 7_500)],
    );
    assert!(
        report.injected_failures > 20,
        "{} calls were interrupted, wanted more than 20",
        report.injected_failures
    );
    assert_no_violations(&report);
}

#[test]
fn one_byte_transfers_lose_no_session() {
    let report =
        run_single_relay(1_003, vec![scheduled_fault(system_calls(SystemFault::ShortIo, 900), 500, 7_500)]);
    assert!(
        report.injected_failures > 100,
        "{} one-byte transfers, wanted more than 100",
        report.injected_failures
    );
    assert_no_violations(&report);
}

#[test]
fn sessions_are_answered_or_moved_when_backend_connections_break() {
    let report = run_single_relay(
        1_004,
        vec![scheduled_fault(system_calls(SystemFault::BrokenBackend, 30), 500, 7_500)],
    );
    assert!(
        report.injected_failures > 20,
        "{} broken connections, wanted more than 20",
        report.injected_failures
    );
    assert_no_violations(&report);
}

#[test]
fn stop_under_traffic_finishes_before_time_limit() {
    let report = run_single_relay(
        1_005,
        vec![scheduled_fault(FaultKind::StopUnderTraffic { relay: 0 }, 1_000, 6_000)],
    );
    let first = report.observations.processes[0].ended.expect("find the exit of the stopped process");
    assert_eq!(first.reason, ExitReason::Exited, "the process did not exit before its time limit");
    assert_no_violations(&report);
}

#[test]
fn one_second_without_connect_rejects_no_session() {
    let report = run_single_relay(
        1_006,
        vec![scheduled_fault(system_calls(SystemFault::Connect, 1_000), 2_000, 3_000)],
    );
    assert_no_violations(&report);
    let up = report.answers().get("UP").copied().unwrap_or(0);
    assert_eq!(
        up,
        report.observations.sessions.len(),
        "not all sessions were opened within their 1.9 s: {:?}",
        report.answers()
    );
}

#[test]
fn one_second_without_sockets_rejects_no_session() {
    let report = run_single_relay(
        1_007,
        vec![scheduled_fault(system_calls(SystemFault::Socket, 1_000), 2_000, 3_000)],
    );
    assert_no_violations(&report);
    let up = report.answers().get("UP").copied().unwrap_or(0);
    assert_eq!(
        up,
        report.observations.sessions.len(),
        "not all sessions were opened within their 1.9 s: {:?}",
        report.answers()
    );
}

#[test]
fn one_second_without_accept_loses_no_session() {
    let report = run_single_relay(
        1_008,
        vec![scheduled_fault(system_calls(SystemFault::Accept, 1_000), 2_000, 3_000)],
    );
    assert_no_violations(&report);
}

#[test]
fn hanging_backend_and_stalled_writes_lose_no_session() {
    let hangs = FaultKind::Backend { backend: 1, behaviour: Behaviour::Hangs };
    let faults = vec![
        scheduled_fault(hangs, 1_000, 4_000),
        scheduled_fault(system_calls(SystemFault::StalledWrite, 30), 1_500, 3_500),
    ];
    assert_no_violations(&run_single_relay(1_009, faults));
}

#[test]
fn stop_finishes_before_time_limit_with_stalled_disk() {
    let drain = FaultKind::Drain { backend: 0 };
    let faults = vec![
        scheduled_fault(system_calls(SystemFault::SlowSync, 8_000), 500, 7_000),
        scheduled_fault(drain, 800, 1_500),
        scheduled_fault(FaultKind::Stop { relay: 0 }, 1_000, 6_000),
    ];
    // With an odd seed the relay keeps a store.
    let report = run_single_relay(1_011, faults);
    let first = report.observations.processes[0].ended.expect("find the exit of the stopped process");
    assert_eq!(first.reason, ExitReason::Exited, "the process did not exit before its time limit");
    assert_no_violations(&report);
}

/// Proves that the harness detects faults inside a relay process: answers that are never sent are reported
/// as missing.
#[test]
fn lost_answers_are_reported_as_violations() {
    let report =
        run_single_relay(1_012, vec![scheduled_fault(system_calls(SystemFault::LostWrite, 100), 500, 6_000)]);
    let lost = report.violations.iter().filter(|violation| violation.rule == Rule::Answered).count();
    assert!(
        report.injected_failures > 5 && lost > 0,
        "{} answers were lost, {lost} were reported as missing",
        report.injected_failures
    );
}

/// Schedules drawn from fixed seeds, as many as the time of a test run allows.
#[test]
fn drawn_overlapping_faults_violate_no_rule() {
    let seeds = [1, 11, 20, 40];
    let runs = seeds.map(|seed| std::thread::spawn(move || run_drawn_schedule(seed)));
    let joined = runs.into_iter().flat_map(|run| run.join().expect("join the thread of a run"));
    let violations: Vec<String> = joined.collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Runs a drawn schedule and returns the violations. Prints the schedule if there are any.
fn run_drawn_schedule(seed: u64) -> Vec<String> {
    let plan = Plan::with_drawn_faults(seed, Duration::from_secs(12), PROGRAM.into());
    let report = run(&plan);
    let violations: Vec<String> =
        report.violations.iter().map(|violation| format!("seed {seed}: {violation}")).collect();
    if violations.is_empty() {
        _ = std::fs::remove_dir_all(&plan.folder);
    } else {
        plan.faults.iter().for_each(|fault| println!("seed {seed}: {fault}"));
    }
    violations
}

#[test]
fn drains_are_known_in_time_with_short_transfers() {
    let drain = |backend, from| scheduled_fault(FaultKind::Drain { backend }, from, from + 1_500);
    let faults = vec![
        scheduled_fault(system_calls(SystemFault::ShortIo, 400), 500, 7_500),
        drain(0, 1_000),
        drain(1, 2_700),
        drain(2, 4_300),
        drain(3, 5_900),
    ];
    assert_no_violations(&run_single_relay(1_013, faults));
}

/// During a hot restart the new process cannot reach discovery. The drain of a backend reaches only the
/// watch of the old process, and must apply to both processes.
#[test]
fn drain_known_to_replaced_process_applies_to_successor() {
    let faults = vec![
        scheduled_fault(FaultKind::Discovery { mode: DiscoveryMode::Rejects }, 900, 4_500),
        scheduled_fault(FaultKind::HotRestart { relay: 0 }, 1_000, 2_000),
        scheduled_fault(FaultKind::Drain { backend: 0 }, 2_000, 6_000),
    ];
    assert_no_violations(&run_single_relay(1_014, faults));
}

/// There is no route to one backend, which `connect` reports immediately. The relay must rank the backend as
/// unhealthy, so that sessions do not all dial it first.
#[test]
fn backend_without_route_delays_few_sessions() {
    /// Longer than the time to an answer when the first dial succeeds.
    const DELAY_THRESHOLD: Duration = Duration::from_millis(150);
    let report =
        run_single_relay(1_015, vec![scheduled_fault(FaultKind::NoRoute { backend: 0 }, 1_000, 7_500)]);
    assert_no_violations(&report);
    let answers = report
        .observations
        .sessions
        .values()
        .filter_map(|session| Some(session.answer.as_ref()?.at - session.requested_at));
    let delayed = answers.filter(|delay| *delay > DELAY_THRESHOLD).count();
    assert!(
        delayed <= 4,
        "{delayed} of {} sessions were answered after more than {DELAY_THRESHOLD:?}, wanted at most 4",
        report.observations.sessions.len()
    );
}
