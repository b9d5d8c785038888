//! Troubles of a scenario as single acts at their times: whom they meet is drawn from the seed. They may
//! overlap, and each ends by itself.
use crate::event_queue::EventQueue;
use crate::links::{LinkFault, LinkSet};
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{Drains, Fault, Scenario, Trouble, TroubleKind};
use std::rc::Rc;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// The process dies, or the machine falls silent, and starts again cold at a time (0 is never).
    Dies {
        server: usize,
        silent: bool,
        until: Micros,
    },
    Starts {
        server: usize,
    },
    /// It is slower by so many times; 1 ends what this trouble did.
    Slows {
        server: usize,
        trouble: usize,
        times: f64,
    },
    Stands {
        server: usize,
        stands: bool,
    },
    /// This part of new sessions gets an error at once.
    Fails {
        server: usize,
        part: f64,
    },
    ReportsLate {
        server: usize,
        by: Micros,
    },
    /// It reports so many times the load that it has.
    Lies {
        server: usize,
        times: f64,
    },
    Drains {
        server: usize,
    },
    Cut {
        zone: usize,
        cut: bool,
    },
    /// Set-ups at the shared store take so many times longer.
    StoreSlows {
        times: f64,
    },
    Wire {
        server: usize,
        fault: Option<Fault>,
        part: f64,
    },
    /// So many cores of work a second come to it past the relays.
    Overrun {
        server: usize,
        cores: f64,
    },
    Rate {
        times: f64,
    },
    Reconnect {
        part: f64,
        within: Micros,
    },
    ListDown {
        down: bool,
    },
    ListLate {
        by: Micros,
    },
    Relay {
        relay: usize,
        deed: RelayAction,
    },
    /// A fault of links between relays starts, or ends.
    Links {
        trouble: usize,
        fault: Option<(Rc<LinkSet>, LinkFault)>,
    },
    /// A relay and the list service, or a relay and a server, don't hear each other.
    CutList {
        relay: usize,
        cut: bool,
    },
    CutServer {
        relay: usize,
        server: usize,
        cut: bool,
    },
    /// A trouble begins or is over, for those who watch.
    Mark {
        text: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    Kill,
    Stop,
    Start,
    Reload,
    Stall,
    Resume,
    /// Another process takes the place of the running one.
    Replace,
    /// An operator wants it out for so long, and asks till it is let out.
    RequestLease(Micros),
}

/// A trouble as a page shows it, in microseconds from the day's beginning.
#[derive(Clone, Debug)]
pub struct Band {
    pub kind: String,
    pub from: Micros,
    pub to: Micros,
}

pub fn name(kind: TroubleKind) -> String {
    let mut name = String::new();
    for c in format!("{kind:?}").chars() {
        if c.is_ascii_uppercase() && !name.is_empty() {
            name.push(' ');
        }
        name.push(c.to_ascii_lowercase());
    }
    name
}

pub fn bands(s: &Scenario) -> Vec<Band> {
    let band = |t: &Trouble| {
        let from = t.at_s.us();
        Band { kind: name(t.kind), from, to: (from + t.length_s.us()).min(s.length_s.us()) }
    };
    s.troubles.iter().map(band).collect()
}

/// All acts of a day that begins at a time.
pub fn acts(s: &Scenario, begin: Micros, rng: &mut Random) -> EventQueue<Act> {
    let mut acts = EventQueue::default();
    for (i, trouble) in s.troubles.iter().enumerate() {
        let mut one = One { s, i, t: trouble, from: begin + trouble.at_s.us(), acts: &mut acts, rng };
        let to = one.from + trouble.length_s.us();
        one.mark(one.from, "begins");
        if trouble.length_s.us() > 0 {
            one.mark(to, "ends");
        }
        one.write(to);
    }
    acts
}

struct One<'a> {
    s: &'a Scenario,
    i: usize,
    t: &'a Trouble,
    from: Micros,
    acts: &'a mut EventQueue<Act>,
    rng: &'a mut Random,
}

impl One<'_> {
    fn mark(&mut self, at: Micros, what: &str) {
        let text = format!("{} {what}", name(self.t.kind));
        self.acts.schedule(at, Act::Mark { text });
    }

    /// Some of a number, drawn: the share of them, one at least.
    fn some(&mut self, of: usize) -> Vec<usize> {
        let count = ((of as f64 * self.t.share.0).round() as usize).clamp(1, of.max(1));
        let mut all: Vec<usize> = (0..of).collect();
        for i in 0..count.min(of) {
            let other = i + self.rng.below(of - i);
            all.swap(i, other);
        }
        all.truncate(count);
        all
    }

    fn servers(&mut self) -> Vec<usize> {
        self.some(self.s.server_count())
    }

    /// An act for each server that it meets, and one that ends it.
    fn each(&mut self, to: Micros, begins: impl Fn(usize) -> Act, ends: impl Fn(usize) -> Act) {
        for server in self.servers() {
            self.acts.schedule(self.from, begins(server));
            self.acts.schedule(to, ends(server));
        }
    }

    fn write(&mut self, to: Micros) {
        let (from, strength, i) = (self.from, self.t.strength.0, self.i);
        let seconds = (strength * 1e6) as Micros;
        match self.t.kind {
            TroubleKind::Crash | TroubleKind::Vanish => {
                let silent = self.t.kind == TroubleKind::Vanish;
                let until = if to > from { to } else { 0 };
                for server in self.servers() {
                    self.acts.schedule(from, Act::Dies { server, silent, until });
                    if until > 0 {
                        self.acts.schedule(until, Act::Starts { server });
                    }
                }
            }
            TroubleKind::Slow => {
                let slows = |server, times| Act::Slows { server, trouble: i, times };
                self.each(to, |server| slows(server, strength), |server| slows(server, 1.0));
            }
            TroubleKind::SharedSlow => {
                for server in 0..self.s.server_count() {
                    self.acts.schedule(from, Act::Slows { server, trouble: i, times: strength });
                    self.acts.schedule(to, Act::Slows { server, trouble: i, times: 1.0 });
                }
                self.acts.schedule(from, Act::StoreSlows { times: strength });
                self.acts.schedule(to, Act::StoreSlows { times: 1.0 });
            }
            TroubleKind::Pauses => self.pauses(to),
            TroubleKind::Failing => {
                let fails = |server, part| Act::Fails { server, part };
                self.each(to, |server| fails(server, strength), |server| fails(server, 0.0));
            }
            TroubleKind::LateReports => {
                let late = |server, by| Act::ReportsLate { server, by };
                self.each(to, |server| late(server, seconds), |server| late(server, 0));
            }
            TroubleKind::Lies => {
                let lies = |server, times| Act::Lies { server, times };
                self.each(to, |server| lies(server, strength), |server| lies(server, 1.0));
            }
            TroubleKind::Wire => {
                let (fault, part) = (self.t.fault, if strength > 0.0 { strength.min(1.0) } else { 1.0 });
                let wire = |server, fault| Act::Wire { server, fault, part };
                self.each(to, |server| wire(server, fault), |server| wire(server, None));
            }
            TroubleKind::ZoneCut => {
                let zone =
                    self.t.zone.as_ref().and_then(|z| self.s.servers.zones.iter().position(|n| n == z));
                let zone = zone.unwrap_or(0);
                self.acts.schedule(from, Act::Cut { zone, cut: true });
                self.acts.schedule(to, Act::Cut { zone, cut: false });
            }
            TroubleKind::Deploy => self.deploy(to),
            TroubleKind::Drain => {
                for server in self.servers() {
                    self.release(from, to.saturating_sub(from), server);
                }
            }
            TroubleKind::Burst => {
                self.acts.schedule(from, Act::Rate { times: strength });
                self.acts.schedule(to, Act::Rate { times: 1.0 });
            }
            TroubleKind::Reconnect => {
                let within = if strength > 0.0 { seconds } else { 1_000_000 };
                self.acts.schedule(from, Act::Reconnect { part: self.t.share.0, within });
            }
            TroubleKind::ListDown => {
                self.acts.schedule(from, Act::ListDown { down: true });
                self.acts.schedule(to, Act::ListDown { down: false });
            }
            TroubleKind::ListLate => {
                self.acts.schedule(from, Act::ListLate { by: seconds });
                self.acts.schedule(to, Act::ListLate { by: 0 });
            }
            TroubleKind::RelayKilled => self.relays(from, RelayAction::Kill, Some((to, RelayAction::Start))),
            TroubleKind::RelayStopped => self.relays(from, RelayAction::Stop, Some((to, RelayAction::Start))),
            TroubleKind::RelayStalled => {
                self.relays(from, RelayAction::Stall, Some((to, RelayAction::Resume)))
            }
            TroubleKind::RelayReloaded => self.relays(from, RelayAction::Reload, None),
            TroubleKind::RelayReplaced => self.relays(from, RelayAction::Replace, None),
            TroubleKind::RelaysOut => {
                let stay = if strength > 0.0 { seconds } else { 3_000_000 };
                self.relays(from, RelayAction::RequestLease(stay), None);
            }
            TroubleKind::RelayLooping => {
                let every = self.t.every_s.us();
                for relay in self.met_relays() {
                    let mut at = from;
                    while at < to {
                        self.acts.schedule(at, Act::Relay { relay, deed: RelayAction::Kill });
                        at += every;
                        self.acts.schedule(at.min(to), Act::Relay { relay, deed: RelayAction::Start });
                        // As long as it takes to die once more, it lives.
                        at += every;
                    }
                }
            }
            TroubleKind::LinkCut | TroubleKind::LinkSplit => self.come_and_go(to, LinkFault::Cut),
            TroubleKind::LinkLoss => self.links(from, to, LinkFault::Loss(strength)),
            TroubleKind::LinkDouble => self.links(from, to, LinkFault::Duplicate(strength)),
            TroubleKind::LinkDelay => self.links(from, to, LinkFault::Delay(self.delays())),
            TroubleKind::LinkReorder => self.links(from, to, LinkFault::Reorder(strength, self.delays())),
            TroubleKind::LinkDamage => self.links(from, to, LinkFault::Corrupt(strength)),
            TroubleKind::LinkHold => self.links(from, to, LinkFault::Hold),
            TroubleKind::ListCut => {
                for relay in self.met_relays() {
                    self.acts.schedule(from, Act::CutList { relay, cut: true });
                    self.acts.schedule(to, Act::CutList { relay, cut: false });
                }
            }
            TroubleKind::ServersCut => {
                // The named relays, or all: a share of the servers is what `share` means here.
                let all: Vec<usize> = (0..self.s.relays.count).collect();
                let relays = if self.t.relays.is_empty() { all } else { self.t.relays.clone() };
                for server in self.servers() {
                    for &relay in &relays {
                        self.acts.schedule(from, Act::CutServer { relay, server, cut: true });
                        self.acts.schedule(to, Act::CutServer { relay, server, cut: false });
                    }
                }
            }
            TroubleKind::Overrun => {
                let overrun = |server, cores| Act::Overrun { server, cores };
                self.each(to, |server| overrun(server, strength), |server| overrun(server, 0.0));
            }
        }
    }

    /// The relays that it names, or a share of them.
    fn met_relays(&mut self) -> Vec<usize> {
        if self.t.relays.is_empty() {
            self.some(self.s.relays.count)
        } else {
            self.t.relays.clone()
        }
    }

    fn relays(&mut self, from: Micros, deed: RelayAction, then: Option<(Micros, RelayAction)>) {
        for relay in self.met_relays() {
            self.acts.schedule(from, Act::Relay { relay, deed });
            if let Some((at, deed)) = then {
                self.acts.schedule(at.max(from + 1), Act::Relay { relay, deed });
            }
        }
    }

    fn delays(&self) -> [Micros; 2] {
        self.t.delay_ms.map(|ms| ms.us())
    }

    fn links(&mut self, from: Micros, to: Micros, fault: LinkFault) {
        let (count, trouble, t) = (self.s.relays.count, self.i, self.t);
        let links = match t.kind {
            TroubleKind::LinkSplit => LinkSet::partition(count, &t.groups, t.bridge),
            _ => LinkSet::between(count, &t.from, &t.to, t.one_way),
        };
        self.acts.schedule(from, Act::Links { trouble, fault: Some((Rc::new(links), fault)) });
        self.acts.schedule(to, Act::Links { trouble, fault: None });
    }

    /// All the time, or for the first half of each period.
    fn come_and_go(&mut self, to: Micros, fault: LinkFault) {
        let every = self.t.every_s.us();
        if every == 0 {
            return self.links(self.from, to, fault);
        }
        let mut at = self.from;
        while at < to {
            self.links(at, (at + every / 2).min(to), fault);
            at += every;
        }
    }

    /// Stands still for `strength` of each period.
    fn pauses(&mut self, to: Micros) {
        // Seldom enough that each is felt by itself.
        const PERIOD: [Micros; 2] = [2_000_000, 4_000_000];
        for server in self.servers() {
            let mut at = self.from + self.rng.between([0, PERIOD[0]]);
            while at < to {
                let period = self.rng.between(PERIOD);
                let still = ((period as f64 * self.t.strength.0) as Micros).min(to - at);
                self.acts.schedule(at, Act::Stands { server, stands: true });
                self.acts.schedule(at + still, Act::Stands { server, stands: false });
                at += period;
            }
        }
    }

    /// Drains a server, ends its process and starts it anew, cold.
    fn release(&mut self, at: Micros, out: Micros, server: usize) {
        // The list must have told of it, and the clients have left, before the process ends.
        let told = self.s.list.notice_s[1].us();
        let drained = match self.s.servers.drains {
            Drains::BitByBit => self.s.servers.drain_s.us(),
            Drains::AtOnce => 500_000,
        };
        let ends = at + told + drained;
        let until = ends + out.max(1_000_000);
        self.acts.schedule(at, Act::Drains { server });
        self.acts.schedule(ends, Act::Dies { server, silent: false, until });
        self.acts.schedule(until, Act::Starts { server });
    }

    /// All servers that it meets, in as many groups as are released one after the other within its length.
    fn deploy(&mut self, to: Micros) {
        let part = if self.t.strength.0 > 0.0 { self.t.strength.0.min(1.0) } else { 0.2 };
        let servers = self.servers();
        let group = ((servers.len() as f64 * part).ceil() as usize).max(1);
        let groups = servers.len().div_ceil(group) as u64;
        for (n, some) in servers.chunks(group).enumerate() {
            let at = self.from + (to.saturating_sub(self.from)) * n as u64 / groups.max(1);
            for &server in some {
                self.release(at, 2_000_000, server);
            }
        }
    }
}
