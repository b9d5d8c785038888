//! Emulated links between relays on sockets. Each relay advertises an address of a proxy in place of the
//! address on which the relay listens. The proxy receives what other relays send to the advertised address,
//! passes it through the emulated links, and forwards it from the advertised address of the sender, by which
//! the receiver identifies the sender.
use super::{free_port, AddressError, Shared};
use crate::links::Arrival;
use hallrelay_balancer::types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::Notify;

/// Addresses of all relays, by number.
#[derive(Clone, Debug, Default)]
pub struct RelayAddresses {
    /// Addresses on which the relays listen for each other.
    pub listen: Vec<SocketAddr>,
    /// Addresses on which the proxy listens on their behalf.
    pub advertised: Vec<SocketAddr>,
}

impl RelayAddresses {
    /// Finds free ports for `count` relays.
    ///
    /// # Errors
    /// If no port is free on one of the addresses.
    pub fn free(count: usize) -> Result<RelayAddresses, AddressError> {
        let in_net = |net: u8| -> Result<Vec<SocketAddr>, AddressError> {
            let ip = |relay: usize| Ipv4Addr::new(127, net, (relay / 250) as u8, (relay % 250 + 1) as u8);
            (0..count).map(|relay| free_port(ip(relay))).collect()
        };
        // Distinct from backends (127.16 and up), relays (127.8) and operators (127.11).
        Ok(RelayAddresses { listen: in_net(9)?, advertised: in_net(10)? })
    }

    fn relay_at(&self, ip: IpAddr) -> Option<usize> {
        self.listen.iter().position(|addr| addr.ip() == ip)
    }
}

/// Time after which a stream on a cut link is closed, as relays close theirs.
const CUT_STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the link of an open stream is checked for a cut.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A datagram due within this time is forwarded immediately, as timers have no finer resolution.
const TIMER_RESOLUTION: Micros = 1_000;
/// Interval at which the queue is checked while no datagram is scheduled.
const IDLE_INTERVAL: Micros = 1_000_000;

/// Orders datagrams by time, then in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduleKey {
    at: Micros,
    order: u64,
}

struct LinkProxy {
    host: Shared,
    addresses: RelayAddresses,
    /// By relay: the socket at its advertised address.
    sockets: Vec<UdpSocket>,
    /// Datagrams that arrive later.
    scheduled: RefCell<BTreeMap<ScheduleKey, Arrival>>,
    last_order: Cell<u64>,
    datagram_scheduled: Notify,
}

/// Starts forwarding between relays. Forwarding ends with the runtime.
///
/// # Errors
/// If an advertised address cannot be bound.
pub async fn serve(addresses: RelayAddresses, host: &Shared) -> Result<(), AddressError> {
    let mut sockets = Vec::new();
    let mut listening_sockets = Vec::new();
    for &addr in &addresses.advertised {
        let with_addr = |source| AddressError::Link { addr, source };
        sockets.push(UdpSocket::bind(addr).await.map_err(with_addr)?);
        listening_sockets.push(TcpListener::bind(addr).await.map_err(with_addr)?);
    }
    let proxy = Rc::new(LinkProxy {
        host: host.clone(),
        addresses,
        sockets,
        scheduled: RefCell::default(),
        last_order: Cell::new(0),
        datagram_scheduled: Notify::new(),
    });
    for (to, listening_socket) in listening_sockets.into_iter().enumerate() {
        tokio::task::spawn_local(proxy.clone().receive_datagrams(to));
        tokio::task::spawn_local(proxy.clone().accept_streams(to, listening_socket));
    }
    tokio::task::spawn_local(proxy.forward_scheduled());
    Ok(())
}

impl LinkProxy {
    async fn receive_datagrams(self: Rc<LinkProxy>, to: usize) {
        let mut buffer = [0; 2048];
        loop {
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            let Some(from) = self.addresses.relay_at(from.ip()) else { continue };
            let bytes = buffer[..length].to_vec();
            let mut arrivals = Vec::new();
            self.host.with(|day, now, _| day.links.send(now, from, to, bytes, &mut arrivals));
            self.schedule(arrivals);
        }
    }

    fn schedule(&self, arrivals: Vec<Arrival>) {
        let now = self.host.now();
        for arrival in arrivals {
            if arrival.at <= now + TIMER_RESOLUTION {
                self.forward(&arrival);
                continue;
            }
            let order = self.last_order.get() + 1;
            self.last_order.set(order);
            let key = ScheduleKey { at: arrival.at, order };
            self.scheduled.borrow_mut().insert(key, arrival);
            self.datagram_scheduled.notify_one();
        }
    }

    /// Forwards a datagram. If the destination relay is down, no socket receives the datagram and it is lost.
    fn forward(&self, arrival: &Arrival) {
        let to = self.addresses.listen[arrival.to];
        _ = self.sockets[arrival.from].try_send_to(&arrival.bytes, to);
    }

    async fn forward_scheduled(self: Rc<LinkProxy>) {
        loop {
            self.schedule(std::mem::take(&mut *self.host.arrivals.borrow_mut()));
            let now = self.host.now();
            for arrival in self.take_due(now) {
                self.forward(&arrival);
            }
            let next = self.scheduled.borrow().first_key_value().map(|(key, _)| key.at);
            let next = next.unwrap_or(now + IDLE_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep_until(self.host.clock.at(next)) => {}
                () = self.datagram_scheduled.notified() => {}
                () = self.host.arrivals_released.notified() => {}
            }
        }
    }

    fn take_due(&self, now: Micros) -> Vec<Arrival> {
        let mut scheduled = self.scheduled.borrow_mut();
        let later = scheduled.split_off(&ScheduleKey { at: now + 1, order: 0 });
        std::mem::replace(&mut *scheduled, later).into_values().collect()
    }

    async fn accept_streams(self: Rc<LinkProxy>, to: usize, listening_socket: TcpListener) {
        loop {
            let Ok((stream, from)) = listening_socket.accept().await else { continue };
            let Some(from) = self.addresses.relay_at(from.ip()) else { continue };
            tokio::task::spawn_local(self.clone().forward_stream(from, to, stream));
        }
    }

    fn stream_latency(&self, from: usize, to: usize) -> Option<Micros> {
        self.host.day.borrow_mut().links.stream_latency(from, to)
    }

    async fn forward_stream(self: Rc<LinkProxy>, from: usize, to: usize, mut inbound: TcpStream) {
        let Some(latency) = self.stream_latency(from, to) else {
            return tokio::time::sleep(CUT_STREAM_TIMEOUT).await;
        };
        tokio::time::sleep(Duration::from_micros(latency)).await;
        let Ok(socket) = TcpSocket::new_v4() else { return };
        let source = SocketAddr::new(self.addresses.advertised[from].ip(), 0);
        let Ok(()) = socket.bind(source) else { return };
        let Ok(mut outbound) = socket.connect(self.addresses.listen[to]).await else { return };
        tokio::select! {
            _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
            () = self.wait_for_cut_timeout(from, to) => {}
        }
    }

    /// Waits until the link is cut, and then for `CUT_STREAM_TIMEOUT`.
    async fn wait_for_cut_timeout(&self, from: usize, to: usize) {
        while self.stream_latency(from, to).is_some() {
            tokio::time::sleep(CUT_CHECK_INTERVAL).await;
        }
        tokio::time::sleep(CUT_STREAM_TIMEOUT).await;
    }
}
