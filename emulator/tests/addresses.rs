//! Free addresses for emulated servers, which may be down while another program searches for addresses.
use hallrelay_emulator::net::{free_port, PortRange};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Address of a server that two laboratories in the tests of `lab` both emulate.
const SERVER: Ipv4Addr = Ipv4Addr::new(127, 18, 0, 2);

/// Guards against two laboratories, of which one has not started its server yet, giving it the same address.
#[test]
fn programs_beside_each_other_find_different_ports() {
    let ranges: Vec<PortRange> =
        (0..8).map(|_| PortRange::claim().expect("claim a range of ports")).collect();
    let find = |range: &PortRange| range.free_port(SERVER).expect("find a free port");
    let found: Vec<_> = (0..20).flat_map(|_| ranges.iter().map(find)).collect();
    let distinct: BTreeSet<_> = found.iter().collect();
    assert_eq!(distinct.len(), found.len(), "a port was found twice: {found:?}");
}

/// Guards against one laboratory giving an address twice, as the first server does not listen yet.
#[test]
fn port_is_not_found_again_before_its_server_listens() {
    let found: BTreeSet<_> = (0..100).map(|_| free_port(SERVER).expect("find a free port")).collect();
    assert_eq!(found.len(), 100);
}
