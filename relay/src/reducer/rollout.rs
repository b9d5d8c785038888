//! A relay's part in a rollout, which installs a new build on relays or backends in waves, one group of
//! targets after another. Each relay counts its sessions and reports them, and the leader analyzes the
//! current wave from the reports of all relays. The replicated state does everything else.
use super::{Reducer, ServerId};
use crate::control_message::TargetCounts;
use hallrelay_balancer::types::DialEnd;
use hallrelay_disruption::{analyze, Command, RolloutPhase, SessionCounts, Target};
use std::cmp::Reverse;

/// Largest number of backends in one report of a relay. The counts of the others follow in later reports.
const MAX_REPORTED_BACKENDS: usize = 64;
const MICROS_PER_S: u64 = 1_000_000;

impl Reducer {
    /// Counts the end of a dial at a backend, or the reset of an open session there.
    pub(super) fn count_outcome(&mut self, server: Option<ServerId>, end: DialEnd) {
        if self.coordination.is_none() {
            return;
        }
        let Some(server) = server.and_then(|id| self.servers.get_mut(&id)) else { return };
        match end {
            DialEnd::Ok => server.session_counts.add(SessionCounts { sessions: 1, failed: 0 }),
            DialEnd::Error | DialEnd::Reset | DialEnd::Timeout => {
                server.session_counts.add(SessionCounts { sessions: 1, failed: 1 });
            }
            DialEnd::Full | DialEnd::Unconnected | DialEnd::Cancelled | DialEnd::NotSent => {}
        }
    }

    /// Takes the counts since the last report: first of the entire relay, then by backend.
    pub(super) fn take_session_counts(&mut self) -> Vec<TargetCounts> {
        let own =
            TargetCounts { target: Target::Relay(self.node.name.clone()), counts: self.take_own_counts() };
        // Backends with the most sessions come first. The counts of a backend that is left out grow until it
        // is among the first.
        let mut counted: Vec<_> =
            self.servers.values_mut().filter(|server| server.session_counts.sessions > 0).collect();
        counted.sort_by_key(|server| Reverse(server.session_counts.sessions));
        let backends = counted.into_iter().take(MAX_REPORTED_BACKENDS).map(|server| TargetCounts {
            target: Target::Backend(server.instance.id.clone()),
            counts: std::mem::take(&mut server.session_counts),
        });
        std::iter::once(own).chain(backends).collect()
    }

    fn take_own_counts(&mut self) -> SessionCounts {
        let mut total = SessionCounts::default();
        for listener in self.metrics.listeners.values() {
            let failed = listener.rejected + listener.failed;
            total.add(SessionCounts { sessions: listener.established + failed, failed });
        }
        let reported = std::mem::replace(&mut self.reported_counts, total);
        total.since(reported)
    }

    /// The leader's analysis of the current wave, if there is a verdict. A wave may pass, or be found to lack
    /// sessions, only once all of its targets are updated. A wave in which more sessions fail than with the
    /// old build fails immediately.
    pub(super) fn wave_analysis(&mut self) -> Option<Command> {
        let now = self.now;
        let coordination = self.coordination.as_mut()?;
        let rollout = coordination.state.rollout()?;
        let since = coordination.outcome_counts.follow_wave(rollout, now)?;
        let counts = coordination.outcome_counts.of_wave(rollout);
        let elapsed_s = (now - since) / MICROS_PER_S;
        let verdict = analyze(&rollout.plan.analysis, counts.new, counts.old, elapsed_s)?;
        let is_updated = rollout.phase == RolloutPhase::Analyzing;
        let fails_sessions = !verdict.passed && counts.new.failed > 0;
        let wave = rollout.wave as u64;
        (is_updated || fails_sessions).then_some(Command::RecordAnalysis {
            wave,
            passed: verdict.passed,
            reason: verdict.reason,
        })
    }
}
