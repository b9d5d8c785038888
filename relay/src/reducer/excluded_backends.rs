//! Backends that the replicated log excludes, since their lease takes them out of service: they get no new
//! sessions, and all relays together migrate their open sessions at one rate. The exclusions received last
//! hold until a later message, so a relay without a leader readmits no backend.
use super::coordination::ExcludedBackends;
use super::{log, Effect, Reducer, SessionStage};
use crate::control_message::RemainingSessions;
use hallrelay_balancer::types::{Phase, SessionId};
use hallrelay_config::list::{Instance, List};
use hallrelay_hot_restart::{ExclusionList, RelayUpdate};
use hallrelay_raft::Index;
use hallrelay_recovery::Record;
use std::collections::BTreeSet;

/// A session at an excluded backend.
struct SessionToMigrate {
    backend: String,
    session_id: SessionId,
}

impl Reducer {
    /// Excludes the backends that are out of service according to this voter's own state.
    pub(super) fn exclude_by_own_state(&mut self, out: &mut Vec<Effect>) {
        let Some(coordination) = &self.coordination else { return };
        let (index, ids) = (coordination.applied_index, coordination.backends_out());
        self.exclude_backends(index, ids, out);
    }

    /// Replaces the excluded backends by those at a log index. An index below the known one is ignored.
    pub(super) fn exclude_backends(&mut self, index: Index, ids: BTreeSet<String>, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        if index < coordination.excluded.index || coordination.excluded.ids == ids {
            coordination.excluded.index = coordination.excluded.index.max(index);
            return;
        }
        let changed: Vec<String> = coordination.excluded.ids.symmetric_difference(&ids).cloned().collect();
        if self.node.state.is_some() {
            out.push(Effect::Persist { record: Record::exclusions(index, &ids), before: None });
        }
        log(format!("{} backends are excluded by the replicated log at index {index}", ids.len()), out);
        let backends = ids.iter().cloned().collect();
        coordination.excluded = ExcludedBackends { index, ids };
        self.update_predecessor(RelayUpdate::Excluded(ExclusionList { log_index: index, backends }), out);
        self.apply_exclusion(&changed, out);
    }

    /// Applies the known list entries of these backends again, so that their phase follows the new
    /// exclusions.
    fn apply_exclusion(&mut self, changed: &[String], out: &mut Vec<Effect>) {
        let listed = changed.iter().filter_map(|id| self.servers.get(self.ids.get(id)?));
        let instances: Vec<Instance> = listed.map(|server| server.instance.clone()).collect();
        if !instances.is_empty() {
            let generation = self.list_version.generation;
            self.apply_list(List { generation, instances, ..List::default() }, out);
        }
    }

    /// A backend's phase for this relay: an excluded one drains, even if it is ready according to discovery.
    pub(super) fn phase(&self, backend: &Instance) -> Phase {
        let is_excluded = self
            .coordination
            .as_ref()
            .is_some_and(|coordination| coordination.excluded.ids.contains(&backend.id));
        match backend.phase {
            Phase::Ready if is_excluded => Phase::Draining,
            phase => phase,
        }
    }

    /// This relay's open sessions at excluded backends.
    fn sessions_to_migrate(&self) -> Vec<SessionToMigrate> {
        let coordination =
            self.coordination.as_ref().filter(|coordination| !coordination.excluded.ids.is_empty());
        let Some(coordination) = coordination else { return Vec::new() };
        let excluded_backend = |session: &super::Session| {
            let id = &self.servers.get(&session.server?)?.instance.id;
            coordination.excluded.ids.contains(id).then(|| id.clone())
        };
        let open = self
            .sessions
            .iter()
            .filter(|(_, session)| matches!(session.stage, SessionStage::Proxying | SessionStage::Migrating));
        let to_migrate = open.filter_map(|(&session_id, session)| {
            excluded_backend(session).map(|backend| SessionToMigrate { backend, session_id })
        });
        to_migrate.collect()
    }

    /// Number of this relay's open sessions at each excluded backend. Backends without any are left out.
    pub(super) fn own_remaining_sessions(&self) -> Vec<RemainingSessions> {
        let mut remaining: Vec<RemainingSessions> = Vec::new();
        for SessionToMigrate { backend, .. } in self.sessions_to_migrate() {
            match remaining.iter_mut().find(|entry| entry.backend == backend) {
                Some(entry) => entry.sessions += 1,
                None => remaining.push(RemainingSessions { backend, sessions: 1 }),
            }
        }
        remaining
    }

    /// Migrates this relay's share of one second's migrations. A fraction of a session, in thousandths, is
    /// carried over to the next second.
    pub(super) fn migrate_excluded(&mut self, out: &mut Vec<Effect>) {
        let sessions = self.sessions_to_migrate();
        let relays = u64::from(self.node.site.facts.relay_count.max(1));
        let Some(coordination) = &mut self.coordination else { return };
        if sessions.is_empty() {
            coordination.pending_moves_milli = 0;
            return;
        }
        coordination.pending_moves_milli += u64::from(coordination.moves_per_s) * 1000 / relays;
        let count = (coordination.pending_moves_milli / 1000) as usize;
        coordination.pending_moves_milli %= 1000;
        sessions.into_iter().take(count).for_each(|session| self.migrate_session(session.session_id, out));
    }
}
