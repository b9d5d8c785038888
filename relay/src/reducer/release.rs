//! A leader's part in a release: it judges the wave by what all relays tell of their sessions, and says what
//! is due to whoever deploys. All else of a release goes on inside the agreed state.
use super::{Reducer, ServerId};
use hallrelay_balancer::types::{DialEnd, Micros};
use hallrelay_disruption::judge::{judge, Tally};
use hallrelay_disruption::{Command, Kind, Phase, Release, Stage, Step, Thing};
use serde::Serialize;
use std::collections::BTreeMap;

/// Servers that a relay tells of in one look; the others' sessions are told with the next.
const TOLD: usize = 64;

/// What was heard of sessions since this process began, and where a wave's count began.
#[derive(Default)]
pub(super) struct Evidence {
    all: BTreeMap<Thing, Tally>,
    /// Of which wave and way; since when; what `all` was then.
    wave: Option<(usize, Micros, BTreeMap<Thing, Tally>)>,
}

#[derive(Serialize)]
struct Told<'a> {
    build: &'a str,
    of: &'static str,
    by: &'a str,
    phase: &'static str,
    why: &'a str,
    wave: usize,
    waves: usize,
    /// Sessions and bad ones of the wave so far, at the new build and beside it.
    new: [u64; 2],
    old: [u64; 2],
    items: Vec<Row>,
    /// Out, empty, and to be changed now.
    due: Vec<Due<'a>>,
}

#[derive(Serialize)]
struct Row {
    what: String,
    wave: usize,
    step: &'static str,
    stage: &'static str,
    /// Why it is not granted yet.
    held_by: Option<String>,
}

#[derive(Serialize)]
struct Due<'a> {
    kind: &'static str,
    name: String,
    /// None is the build that it had before.
    build: Option<&'a str>,
    grant: u64,
}

impl Evidence {
    pub(super) fn hear(&mut self, thing: Thing, tally: Tally) {
        self.all.entry(thing).or_default().add(tally);
    }

    fn of(&self, thing: &Thing) -> Tally {
        let all = self.all.get(thing).copied().unwrap_or_default();
        let before = self.wave.as_ref().and_then(|wave| wave.2.get(thing)).copied().unwrap_or_default();
        all.less(before)
    }

    /// New and old of the present wave.
    fn sums(&self, release: &Release) -> (Tally, Tally) {
        let (mut new, mut old) = (Tally::default(), Tally::default());
        for thing in self.all.keys().filter(|thing| thing.kind() == release.plan.of) {
            let item = release.items.iter().find(|item| item.thing == *thing);
            match item {
                Some(item) if matches!(item.step, Step::Changed | Step::Done) => {
                    if item.wave == release.wave {
                        new.add(self.of(thing));
                    }
                }
                _ => old.add(self.of(thing)),
            }
        }
        (new, old)
    }
}

impl Reducer {
    /// A dial at a server came to an end, or an open session there was cut off.
    pub(super) fn counts(&mut self, server: Option<ServerId>, end: DialEnd) {
        if self.agreed.is_none() {
            return;
        }
        let Some(v) = server.and_then(|id| self.servers.get_mut(&id)) else { return };
        v.tally.sessions += u64::from(matches!(end, DialEnd::Ok));
        let bad = matches!(end, DialEnd::Error | DialEnd::Reset | DialEnd::Timeout);
        v.tally.add(Tally { sessions: u64::from(bad), bad: u64::from(bad) });
    }

    /// What became of sessions here since it was told last: by server, and of this relay as a whole.
    pub(super) fn tallies(&mut self) -> Vec<(Thing, u64, u64)> {
        let mut all = Tally::default();
        for l in self.figures.listeners.values() {
            let bad = l.dropped + l.failed;
            all.add(Tally { sessions: l.passed + bad, bad });
        }
        let own = all.less(std::mem::replace(&mut self.tallied, all));
        let mut told = vec![(Thing::Relay(self.node.name.clone()), own.sessions, own.bad)];
        // Most first: what is left for the next look grows till it is among them.
        let mut some: Vec<_> = self.servers.values_mut().filter(|v| v.tally.sessions > 0).collect();
        some.sort_by_key(|v| std::cmp::Reverse(v.tally.sessions));
        for v in some.into_iter().take(TOLD) {
            let tally = std::mem::take(&mut v.tally);
            told.push((Thing::Server(v.told.id.clone()), tally.sessions, tally.bad));
        }
        told
    }

    /// The leader's word on the wave, where there is one to say.
    pub(super) fn judged(&mut self) -> Option<Command> {
        let now = self.now;
        let a = self.agreed.as_mut()?;
        let release = a.state.release()?;
        if !matches!(release.phase, Phase::Running | Phase::Judging) {
            a.evidence.wave = None;
            return None;
        }
        let begun = |step: Step| matches!(step, Step::Changed | Step::Done);
        let any = release.items.iter().any(|item| item.wave == release.wave && begun(item.step));
        let counted = a.evidence.wave.as_ref().is_some_and(|wave| wave.0 == release.wave);
        if !counted {
            a.evidence.wave = any.then(|| (release.wave, now, a.evidence.all.clone()));
            return None;
        }
        let since = a.evidence.wave.as_ref().map_or(now, |wave| wave.1);
        let (new, old) = a.evidence.sums(release);
        let verdict = judge(&release.plan.judge, new, old, (now - since) / 1_000_000)?;
        // A good word is for a wave that is whole; a bad one, or too little, for one that is.
        let whole = release.phase == Phase::Judging;
        let surely = !verdict.good && new.bad > 0;
        let wave = release.wave as u64;
        (whole || surely).then_some(Command::Judged { wave, good: verdict.good, why: verdict.why })
    }

    /// How the release stands, as JSON; none where there is none, or nothing is agreed.
    pub(super) fn release_status(&self) -> Option<String> {
        let a = self.agreed.as_ref()?;
        let release = a.state.release()?;
        let (new, old) = a.evidence.sums(release);
        let row = |item: &hallrelay_disruption::release::Item| {
            let r = a.state.get(&item.thing);
            let held = r.filter(|r| r.stage == Stage::Waiting).and_then(|r| a.state.held(&item.thing, r));
            Row {
                what: item.thing.to_string(),
                wave: item.wave + 1,
                step: item.step.word(),
                stage: r.map_or("unknown", |r| r.stage.word()),
                held_by: held.map(|held| held.0),
            }
        };
        let told = Told {
            build: &release.plan.build,
            of: release.plan.of.word(),
            by: &release.plan.by,
            phase: release.phase.word(),
            why: &release.why,
            wave: release.wave + 1,
            waves: release.plan.waves.len(),
            new: [new.sessions, new.bad],
            old: [old.sessions, old.bad],
            items: release.items.iter().map(row).collect(),
            due: release.items.iter().filter_map(|item| self.due_step(release, item)).collect(),
        };
        serde_json::to_string(&told).ok()
    }

    fn due_step<'a>(
        &self,
        release: &'a Release,
        item: &hallrelay_disruption::release::Item,
    ) -> Option<Due<'a>> {
        let a = self.agreed.as_ref()?;
        let build = match item.step {
            Step::Going => Some(release.plan.build.as_str()),
            Step::Undoing => None,
            _ => return None,
        };
        let r = a.state.get(&item.thing).filter(|r| r.stage == Stage::Out)?;
        let kind = item.thing.kind();
        // Relays tell what is left each second: what is heard by now was said after it was shut.
        let since = a.since.get(&item.thing).map_or(self.now, |since| since.1);
        let heard = self.now >= since + super::look::HEARD;
        let empty = kind == Kind::Relay || (heard && a.left(item.thing.name()) == 0);
        let name = item.thing.name().to_string();
        empty.then(|| Due { kind: kind.word(), name, build, grant: r.grant })
    }
}
