//! The list service on sockets: HTTP/1.1, the whole list or a watch on what changes, one address a relay.
use super::{Host, Shared};
use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How soon a cut way is found whole again.
const CUT: Duration = Duration::from_millis(20);

type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>;

/// Serves one relay's list at a free port, and at another one each time that it moves.
pub async fn serve(relay: usize, first: TcpListener, host: Shared) {
    let mut moved = host.list_moves.borrow()[relay].subscribe();
    let mut listener = first;
    loop {
        let until = tokio::select! {
            taken = listener.accept() => {
                if let Ok((stream, _)) = taken {
                    let (host, left) = (host.clone(), moved.clone());
                    tokio::task::spawn_local(connection(relay, stream, left, host));
                }
                continue;
            }
            until = moved.changed() => until,
        };
        if until.is_err() {
            return;
        }
        if let Some(next) = bind(relay, &host).await {
            listener = next;
        }
    }
}

/// A free port for a relay's list, known to the host from now on.
pub async fn bind(relay: usize, host: &Rc<Host>) -> Option<TcpListener> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.ok()?;
    host.list_addresses.borrow_mut()[relay] = listener.local_addr().ok()?;
    Some(listener)
}

async fn connection(
    relay: usize,
    stream: tokio::net::TcpStream,
    mut moved: tokio::sync::watch::Receiver<u64>,
    host: Shared,
) {
    _ = stream.set_nodelay(true);
    // Nothing comes through while the way is cut; who waits gives up by itself.
    while host.day.borrow().list_cut[relay] {
        tokio::time::sleep(CUT).await;
    }
    moved.mark_unchanged();
    let answers = service_fn(|ask: Request<Incoming>| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(answer(relay, &ask, &host)) }
    });
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), answers);
    let mut down = host.news.subscribe();
    tokio::select! {
        _ = served => {}
        () = async {
            while !host.list_down.get() {
                if down.changed().await.is_err() {
                    return;
                }
            }
        } => {} // what is open ends as the service goes down
        () = async {
            _ = moved.changed().await;
            // The old place closes what is open a moment later.
            tokio::time::sleep(Duration::from_millis(1_500)).await;
        } => {}
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut answer = Response::new(Full::new(text.into()).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

fn answer(relay: usize, ask: &Request<Incoming>, host: &Shared) -> Response<Body> {
    if host.list_down.get() {
        host.day.borrow_mut().audit.list_call_failed(relay);
        return plain(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    }
    if ask.uri().path() != "/registry/instances" {
        return plain(StatusCode::NOT_FOUND, "no such place\n");
    }
    let query = ask.uri().query().unwrap_or("");
    let value = |name: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
    if value("follow").is_none_or(|v| v.1 != "1") {
        return plain(StatusCode::OK, whole(relay, host));
    }
    let since = value("since").and_then(|v| v.1.parse::<u64>().ok());
    let (to, body) = Channel::<Bytes, Infallible>::new(4);
    tokio::task::spawn_local(follow(relay, since, to, host.clone()));
    Response::new(body.boxed_unsync())
}

fn text(relay: usize, reset: bool, servers: &[usize], host: &Shared) -> String {
    let day = host.day.borrow();
    let line = day.servers.endpoints.json(reset, servers, |server| host.servers[relay][server].to_string());
    line.to_string() + "\n"
}

fn whole(relay: usize, host: &Shared) -> String {
    let servers = host.day.borrow().servers.endpoints.present();
    let line = text(relay, true, &servers, host);
    // What a whole list leaves out is gone; all that there is was told.
    let all: Vec<usize> = (0..host.day.borrow().servers.len()).collect();
    host.with(|day, now, todo| day.list_sent(now, relay, &all, &mut todo.server_events));
    line
}

/// Writes what changes, as long as somebody reads.
async fn follow(relay: usize, since: Option<u64>, mut to: Sender<Bytes, Infallible>, host: Shared) {
    let mut news = host.news.subscribe();
    let mut since = match since {
        Some(since) => since,
        None => {
            let line = whole(relay, &host);
            if to.send_data(line.into()).await.is_err() {
                return;
            }
            host.day.borrow().servers.endpoints.generation
        }
    };
    let mut first = true;
    loop {
        while host.day.borrow().list_cut[relay] {
            tokio::time::sleep(CUT).await;
        }
        let (generation, servers) = {
            let day = host.day.borrow();
            (day.servers.endpoints.generation, day.servers.endpoints.changed_since(since))
        };
        if first || generation > since {
            first = false;
            since = generation;
            if to.send_data(text(relay, false, &servers, &host).into()).await.is_err() {
                return;
            }
            host.with(|day, now, todo| day.list_sent(now, relay, &servers, &mut todo.server_events));
        }
        match tokio::time::timeout(Duration::from_secs(2), news.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                if to.send_data(Bytes::from_static(b"\n")).await.is_err() {
                    return;
                }
            }
        }
        if host.list_down.get() {
            return;
        }
    }
}
