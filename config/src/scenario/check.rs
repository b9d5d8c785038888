//! What a scenario may say, key by key, beyond its types.
use super::{Scenario, Span, Trouble, TroubleKind};

/// A key whose value no run can have.
pub(super) struct InvalidKey {
    /// The key's path, such as `listener[1].life_s`.
    pub(super) key: String,
    pub(super) reason: String,
}

/// Figures that no day can have.
pub(super) fn check(s: &Scenario) -> Result<(), InvalidKey> {
    let fails = |is_invalid: bool, key: &str, reason: &str| match is_invalid {
        true => Err(InvalidKey { key: key.to_string(), reason: reason.to_string() }),
        false => Ok(()),
    };
    fails(s.length_s.us() < 1_000_000, "length_s", "wanted a second at least")?;
    fails(s.relays.count == 0 || s.relays.count > 300, "relays.count", "wanted 1 to 300 relays")?;
    let votes = s.relays.voters;
    fails(
        votes > 0 && !(s.relays.fleet && s.relays.state),
        "relays.voters",
        "wants relays.fleet and relays.state",
    )?;
    fails(votes > s.relays.count || votes > 7, "relays.voters", "wanted 7 at most, and no more than relays")?;
    fails(s.relays.fleet && s.relays.seeds == 0, "relays.seeds", "wanted 1 at least")?;
    fails(s.relays.sockets < 64, "relays.sockets", "wanted 64 at least")?;
    fails(s.relays.most_dials == 0, "relays.most_dials", "wanted 1 at least")?;
    fails(s.servers.kinds.is_empty(), "servers.kind", "wanted one kind of server at least")?;
    fails(
        s.server_count() == 0 || s.server_count() > 4096,
        "servers.kind",
        "wanted 1 to 4096 servers in all",
    )?;
    fails(
        s.servers.zones.is_empty() || s.servers.zones.len() > 200,
        "servers.zones",
        "wanted 1 to 200 zones",
    )?;
    fails(s.servers.per_core.0 <= 0.0, "servers.per_core", "wanted more than 0")?;
    fails(s.servers.cap_per_core == 0, "servers.cap_per_core", "wanted 1 at least")?;
    fails(s.servers.cold_from.0 <= 0.0, "servers.cold_from", "a server that can do nothing is never warm")?;
    fails(s.listeners.is_empty(), "listener", "wanted one listener at least")?;
    fails(s.listeners.iter().all(|l| l.share.0 <= 0.0), "listener", "one share at least must be over 0")?;
    for (i, kind) in s.servers.kinds.iter().enumerate() {
        let key = |name: &str| format!("servers.kind[{i}].{name}");
        fails(kind.cores == 0, &key("cores"), "wanted 1 at least")?;
        fails(kind.speed.0 <= 0.0, &key("speed"), "wanted more than 0")?;
    }
    for (i, l) in s.listeners.iter().enumerate() {
        let key = |name: &str| format!("listener[{i}].{name}");
        let short = l.dial_timeout_ms.us() < l.handshake_target_ms.us();
        fails(short, &key("dial_timeout_ms"), "is shorter than handshake_target_ms")?;
        fails(l.dial_timeout_ms.us() == 0, &key("dial_timeout_ms"), "wanted more than 0")?;
        fails(l.life_s.us() == 0, &key("life_s"), "wanted more than 0")?;
        fails(l.load.0 <= 0.0, &key("load"), "wanted more than 0")?;
        let named = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let fit = !l.name.is_empty() && l.name.chars().all(named);
        fails(!fit, &key("name"), "wanted letters, digits, - and _")?;
        let twice = s.listeners[..i].iter().any(|before| before.name == l.name);
        fails(twice, &key("name"), "is the name of an earlier listener")?;
    }
    let ranges = [
        ("clients.wait_ms", s.clients.wait_ms.map(Span::us)),
        ("clients.rejoin_ms", s.clients.rejoin_ms.map(Span::us)),
        ("clients.front_notice_s", s.clients.front_notice_s.map(Span::us)),
        ("list.notice_s", s.list.notice_s.map(Span::us)),
        ("list.silent_notice_s", s.list.silent_notice_s.map(Span::us)),
        ("list.add_s", s.list.add_s.map(Span::us)),
        ("servers.report_every_ms", s.servers.report_every_ms.map(Span::us)),
        ("servers.report_late_ms", s.servers.report_late_ms.map(Span::us)),
    ];
    for (key, [least, most]) in ranges {
        fails(least > most, key, "the first time is over the second")?;
    }
    fails(s.servers.report_every_ms[0].us() == 0, "servers.report_every_ms", "wanted more than 0")?;
    fails(s.clients.message_s.us() == 0, "clients.message_s", "wanted more than 0")?;
    let names_bad = s.bad.rate.0 > 0.0 && s.bad.sorts.is_empty();
    fails(names_bad, "bad.sorts", "a rate without sorts means nothing")?;
    for (i, t) in s.troubles.iter().enumerate() {
        let key = |name: &str| format!("trouble[{i}].{name}");
        use TroubleKind::{Burst, Failing, Lies, Pauses, SharedSlow, Slow, Wire, ZoneCut};
        fails(t.at_s.us() >= s.length_s.us(), &key("at_s"), "is after the day's end")?;
        let times = matches!(t.kind, Slow | SharedSlow | Burst);
        fails(times && t.strength.0 < 1.0, &key("strength"), "wanted 1 or more, as it means times")?;
        let part = matches!(t.kind, Failing | Pauses);
        let part = part && !(0.0..=1.0).contains(&t.strength.0);
        fails(part, &key("strength"), "wanted 0 to 1, as it means a part")?;
        let lasting = matches!(t.kind, Slow | SharedSlow | Burst | Pauses | Failing | Lies | Wire | ZoneCut);
        fails(lasting && t.length_s.us() == 0, &key("length_s"), "wanted more than 0")?;
        let unknown = t.zone.as_ref().is_some_and(|zone| !s.servers.zones.contains(zone));
        fails(unknown, &key("zone"), "is not among servers.zones")?;
        fails(t.kind == ZoneCut && t.zone.is_none(), &key("zone"), "a zone cut names its zone")?;
        fails(t.kind == Wire && t.fault.is_none(), &key("fault"), "trouble on the way names its fault")?;
        fails(t.kind != Wire && t.fault.is_some(), &key("fault"), "only kind = \"wire\" has a fault")?;
        links(s, t, &key)?;
    }
    Ok(())
}

/// What a trouble says of relays and of the ways between them.
fn links(s: &Scenario, t: &Trouble, key: &dyn Fn(&str) -> String) -> Result<(), InvalidKey> {
    use TroubleKind::{
        LinkCut, LinkDamage, LinkDelay, LinkDouble, LinkLoss, LinkReorder, LinkSplit, ListCut, RelayLooping,
        RelayStalled, RelaysOut, ServersCut,
    };
    let fails = |is_invalid: bool, name: &str, reason: &str| match is_invalid {
        true => Err(InvalidKey { key: key(name), reason: reason.to_string() }),
        false => Ok(()),
    };
    let link = t.kind.is_link();
    fails(
        link && !s.relays.fleet,
        "kind",
        "is about relays that know each other, and relays.fleet is not true",
    )?;
    let votes = s.relays.voters;
    fails(
        t.kind == RelaysOut && votes == 0,
        "kind",
        "is about drains that are agreed, and relays.voters is 0",
    )?;
    let lasting = link || matches!(t.kind, RelayStalled | RelayLooping | ListCut | ServersCut);
    fails(lasting && t.length_s.us() == 0, "length_s", "wanted more than 0")?;
    let unknown = |some: &[usize]| some.iter().any(|relay| *relay >= s.relays.count);
    let lists = [("relays", &t.relays), ("from", &t.from), ("to", &t.to)];
    for (name, list) in lists {
        fails(unknown(list), name, "names a relay that there is not (they count from 0)")?;
    }
    fails(t.groups.iter().any(|group| unknown(group)), "groups", "names a relay that there is not")?;
    let twice = t.groups.iter().flatten().enumerate();
    let twice = twice.clone().any(|(i, relay)| t.groups.iter().flatten().take(i).any(|other| other == relay));
    fails(twice, "groups", "names a relay twice: a relay that hears two groups is the bridge")?;
    fails(
        t.bridge.is_some_and(|relay| relay >= s.relays.count),
        "bridge",
        "names a relay that there is not",
    )?;
    let split = t.kind == LinkSplit;
    fails(
        !split && (!t.groups.is_empty() || t.bridge.is_some()),
        "groups",
        "belongs to kind = \"link-split\"",
    )?;
    let ways = link && !split;
    let named = !t.from.is_empty() || !t.to.is_empty();
    fails(named && !ways, "from", "belongs to ways between relays")?;
    fails(t.one_way && (!ways || t.from.is_empty()), "one_way", "wants `from`, and a way between relays")?;
    fails(!t.relays.is_empty() && !t.kind.is_of_relays(), "relays", "belongs to troubles of relays")?;
    let comes_and_goes = matches!(t.kind, LinkCut | LinkSplit);
    let period = t.every_s.us();
    fails(
        period > 0 && !(comes_and_goes || t.kind == RelayLooping),
        "every_s",
        "means nothing for this kind",
    )?;
    fails(t.kind == RelayLooping && period < 100_000, "every_s", "wanted 0.1 s at least")?;
    fails(comes_and_goes && period > 0 && period < 100_000, "every_s", "wanted 0.1 s at least")?;
    let part = matches!(t.kind, LinkLoss | LinkDouble | LinkReorder | LinkDamage);
    let wrong = part && !(t.strength.0 > 0.0 && t.strength.0 <= 1.0);
    fails(wrong, "strength", "wanted a part over 0 and up to 1, of what goes the way")?;
    let delays = matches!(t.kind, LinkDelay | LinkReorder);
    let [least, most] = t.delay_ms.map(|ms| ms.us());
    fails(least > most, "delay_ms", "the first time is over the second")?;
    fails(delays && most == 0, "delay_ms", "wanted two times, [least, most]")?;
    fails(!delays && most > 0, "delay_ms", "means nothing for this kind")
}
