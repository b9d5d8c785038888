//! The ways between relays on sockets: each relay is given out at an address of the rig's, where what others
//! send it comes first; the rig tells the sender by its address, and sends on from the sender's own.
use super::{free_port, Shared};
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

/// Where the relays listen for each other, and where each of them is given out.
#[derive(Clone, Debug, Default)]
pub struct Places {
    pub listen: Vec<SocketAddr>,
    pub reached: Vec<SocketAddr>,
}

impl Places {
    pub fn free(count: usize) -> Result<Places, String> {
        let at = |net: u8| -> Result<Vec<SocketAddr>, String> {
            let ip = |relay: usize| Ipv4Addr::new(127, net, (relay / 250) as u8, (relay % 250 + 1) as u8);
            (0..count).map(|relay| free_port(ip(relay))).collect()
        };
        // Away from servers (127.16 on), relays (127.8) and operators (127.11).
        Ok(Places { listen: at(9)?, reached: at(10)? })
    }

    fn relay_at(&self, ip: IpAddr) -> Option<usize> {
        self.listen.iter().position(|at| at.ip() == ip)
    }
}

/// A stream that a cut holds is let go after this, as its relays do.
const HELD: Duration = Duration::from_secs(3);

struct Rig {
    host: Shared,
    places: Places,
    datagrams: Vec<UdpSocket>,
    /// What is on its way, by the time of its arrival.
    mail: RefCell<BTreeMap<(Micros, u64), Arrival>>,
    last: Cell<u64>,
    posted: Notify,
}

/// Carries what relays say to each other, till it is dropped with its runtime.
pub async fn serve(places: Places, host: &Shared) -> Result<(), String> {
    let mut datagrams = Vec::new();
    let mut streams = Vec::new();
    for &at in &places.reached {
        let told = |e: std::io::Error| format!("the ways between relays: {at}: {e}");
        datagrams.push(UdpSocket::bind(at).await.map_err(told)?);
        streams.push(TcpListener::bind(at).await.map_err(told)?);
    }
    let (mail, last, posted) = (RefCell::default(), Cell::new(0), Notify::new());
    let rig = Rc::new(Rig { host: host.clone(), places, datagrams, mail, last, posted });
    for (to, listener) in streams.into_iter().enumerate() {
        tokio::task::spawn_local(rig.clone().take_datagrams(to));
        tokio::task::spawn_local(rig.clone().take_streams(to, listener));
    }
    tokio::task::spawn_local(rig.deliver());
    Ok(())
}

impl Rig {
    async fn take_datagrams(self: Rc<Rig>, to: usize) {
        let mut bytes = [0; 2048];
        loop {
            let Ok((len, from)) = self.datagrams[to].recv_from(&mut bytes).await else { continue };
            let Some(from) = self.places.relay_at(from.ip()) else { continue };
            let mut arrivals = Vec::new();
            self.host.with(|day, now, _| day.links.send(now, from, to, bytes[..len].to_vec(), &mut arrivals));
            self.post(arrivals);
        }
    }

    fn post(&self, arrivals: Vec<Arrival>) {
        // What is to arrive within this is there: timers tell no shorter times.
        const NOW: Micros = 1_000;
        let now = self.host.now();
        for arrival in arrivals {
            if arrival.at <= now + NOW {
                self.arrives(&arrival);
            } else {
                self.last.set(self.last.get() + 1);
                self.mail.borrow_mut().insert((arrival.at, self.last.get()), arrival);
                self.posted.notify_one();
            }
        }
    }

    fn arrives(&self, arrival: &Arrival) {
        // A relay that is down has no socket there: it is lost.
        _ = self.datagrams[arrival.from].try_send_to(&arrival.bytes, self.places.listen[arrival.to]);
    }

    async fn deliver(self: Rc<Rig>) {
        loop {
            self.post(std::mem::take(&mut *self.host.arrivals.borrow_mut()));
            let now = self.host.now();
            let due: Vec<Arrival> = {
                let mut mail = self.mail.borrow_mut();
                let later = mail.split_off(&(now + 1, 0));
                std::mem::replace(&mut *mail, later).into_values().collect()
            };
            due.iter().for_each(|arrival| self.arrives(arrival));
            let next = self.mail.borrow().first_key_value().map(|(key, _)| key.0);
            let next = next.unwrap_or(now + 1_000_000);
            tokio::select! {
                () = tokio::time::sleep_until(self.host.clock.at(next)) => {}
                () = self.posted.notified() => {}
                () = self.host.let_go.notified() => {}
            }
        }
    }

    async fn take_streams(self: Rc<Rig>, to: usize, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            let Some(from) = self.places.relay_at(from.ip()) else { continue };
            tokio::task::spawn_local(self.clone().stream(from, to, stream));
        }
    }

    fn way(&self, from: usize, to: usize) -> Option<Micros> {
        self.host.day.borrow_mut().links.stream(from, to)
    }

    async fn stream(self: Rc<Rig>, from: usize, to: usize, mut near: TcpStream) {
        let Some(later) = self.way(from, to) else { return tokio::time::sleep(HELD).await };
        tokio::time::sleep(Duration::from_micros(later)).await;
        let Ok(socket) = TcpSocket::new_v4() else { return };
        let own = SocketAddr::new(self.places.reached[from].ip(), 0);
        let Ok(()) = socket.bind(own) else { return };
        let Ok(mut far) = socket.connect(self.places.listen[to]).await else { return };
        let cut = async {
            while self.way(from, to).is_some() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            tokio::time::sleep(HELD).await;
        };
        tokio::select! {
            _ = copy_bidirectional(&mut near, &mut far) => {}
            () = cut => {}
        }
    }
}
