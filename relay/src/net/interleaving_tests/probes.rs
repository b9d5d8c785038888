//! Probes on a connection that is kept, and that its backend closes as it idles.
use super::{bound, hub, play, soon, taken};
use crate::net::health_check;
use crate::reducer::Event;
use hallrelay_balancer::types::DialEnd;
use tokio::sync::mpsc;

/// The backend ends a kept connection just as it is asked there, or has ended it before the runtime looked:
/// it is asked anew on another one, and has not failed. One that ends that as well has.
#[test]
fn a_connection_closed_as_it_idled_is_no_fault() {
    for read_first in [true, false] {
        play(|mut play| async move {
            let backend = bound().await;
            let addr = backend.local_addr().expect("its address");
            let (ask, asked) = mpsc::channel(1);
            tokio::task::spawn_local(health_check::run(7, true, asked, play.hub.clone()));
            ask.send(addr).await.expect("it serves");
            let mut first = taken(&backend).await;
            assert_eq!(first.hears().await, "STATS\r\n");
            first.says("PONG x0=0.5\r\n").await;
            assert!(matches!(play.event().await, Event::HealthCheckEnded { end: DialEnd::Ok, .. }));
            if read_first {
                ask.send(addr).await.expect("it serves");
                assert_eq!(first.hears().await, "STATS\r\n");
                drop(first);
            } else {
                drop(first);
                ask.send(addr).await.expect("it serves");
            }
            let mut second = taken(&backend).await;
            assert_eq!(second.hears().await, "STATS\r\n");
            second.says("PONG x0=0.5\r\n").await;
            assert!(matches!(play.event().await, Event::HealthCheckEnded { end: DialEnd::Ok, .. }));
            ask.send(addr).await.expect("it serves");
            second.hears().await;
            drop(second);
            drop(taken(&backend).await);
            assert!(matches!(play.event().await, Event::HealthCheckEnded { end: DialEnd::Reset, .. }));
        });
    }
}

/// A backend, or what lies on the way, has forgotten a connection that idled: nothing comes back on it, not
/// even a reset. It is asked anew on another one within the probe's time, and has not failed.
#[test]
fn a_connection_forgotten_as_it_idled_is_no_fault() {
    play(|mut play| async move {
        let backend = bound().await;
        let addr = backend.local_addr().expect("its address");
        let (ask, asked) = mpsc::channel(1);
        tokio::task::spawn_local(health_check::run(7, true, asked, play.hub.clone()));
        ask.send(addr).await.expect("it serves");
        let mut first = taken(&backend).await;
        first.hears().await;
        first.says("PONG x0=0.5\r\n").await;
        assert!(matches!(play.event().await, Event::HealthCheckEnded { end: DialEnd::Ok, .. }));
        ask.send(addr).await.expect("it serves");
        // It says nothing on the first one any more.
        let mut second = taken(&backend).await;
        assert_eq!(second.hears().await, "STATS\r\n");
        second.says("PONG x0=0.5\r\n").await;
        assert!(matches!(play.event().await, Event::HealthCheckEnded { end: DialEnd::Ok, .. }));
        // One that says nothing on a new connection either is silent.
        ask.send(addr).await.expect("it serves");
        let _third = taken(&backend).await;
        assert!(matches!(play.event().await, Event::HealthCheckEnded { end: DialEnd::Timeout, .. }));
    });
}

/// A connection that nobody asks on for long is closed.
#[test]
fn a_kept_connection_is_closed_in_the_end() {
    play(|_| async {
        let (hub, mut events) = hub(|limits| limits.probe_idle_timeout = 20_000);
        let backend = bound().await;
        let (ask, asked) = mpsc::channel(1);
        tokio::task::spawn_local(health_check::run(7, true, asked, hub));
        ask.send(backend.local_addr().expect("its address")).await.expect("it serves");
        let mut server = taken(&backend).await;
        server.hears().await;
        server.says("PONG\r\n").await;
        assert!(matches!(
            soon("a probe", events.recv()).await,
            Some(Event::HealthCheckEnded { end: DialEnd::Ok, .. })
        ));
        assert_eq!(server.hears().await, "");
    });
}
