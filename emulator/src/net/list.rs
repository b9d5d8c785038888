//! Discovery on sockets: HTTP/1.1 with the complete endpoint list or a watch on its changes, at one address
//! per relay.
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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval at which a cut between relay and discovery is checked for its end.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which connections to the old address stay open after a move of discovery to another address.
const MOVE_GRACE: Duration = Duration::from_millis(1_500);
/// Interval at which an empty line is written to a watch (a response that reports changes) if nothing
/// changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of lines queued for a watch.
const WATCH_CAPACITY: usize = 4;

type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>;

/// Serves one relay's discovery on a free port, and on another one after each move.
pub async fn serve(relay: usize, first: TcpListener, host: Shared) {
    let mut moves = host.list_moves.borrow()[relay].subscribe();
    let mut listening_socket = first;
    loop {
        let moved = tokio::select! {
            accepted = listening_socket.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::task::spawn_local(run_connection(relay, stream, moves.clone(), host.clone()));
                }
                continue;
            }
            moved = moves.changed() => moved,
        };
        if moved.is_err() {
            return;
        }
        if let Some(next) = bind(relay, &host).await {
            listening_socket = next;
        }
    }
}

/// Binds a free port for a relay's discovery and stores its address in the host. None if that fails.
pub async fn bind(relay: usize, host: &Rc<Host>) -> Option<TcpListener> {
    let listening_socket = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.ok()?;
    host.list_addresses.borrow_mut()[relay] = listening_socket.local_addr().ok()?;
    Some(listening_socket)
}

async fn run_connection(relay: usize, stream: TcpStream, mut moves: watch::Receiver<u64>, host: Shared) {
    _ = stream.set_nodelay(true);
    // A relay that waits too long times out on its own.
    wait_until_reachable(relay, &host).await;
    moves.mark_unchanged();
    let service = service_fn(|request: Request<Incoming>| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(respond(relay, &request, &host)) }
    });
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut changes = host.list_changes.subscribe();
    tokio::select! {
        _ = served => {}
        // Open connections end when discovery becomes unavailable.
        () = async {
            while !host.list_down.get() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        } => {}
        () = async {
            _ = moves.changed().await;
            tokio::time::sleep(MOVE_GRACE).await;
        } => {}
    }
}

/// Waits while a relay and its discovery are cut off from each other.
async fn wait_until_reachable(relay: usize, host: &Shared) {
    while host.day.borrow().list_cut[relay] {
        tokio::time::sleep(CUT_CHECK_INTERVAL).await;
    }
}

fn response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn respond(relay: usize, request: &Request<Incoming>, host: &Shared) -> Response<Body> {
    if host.list_down.get() {
        host.day.borrow_mut().audit.list_call_failed(relay);
        return response(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    }
    if request.uri().path() != "/registry/instances" {
        return response(StatusCode::NOT_FOUND, "no such path\n");
    }
    let query = request.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = |name: &str| pairs.clone().find(|pair| pair.0 == name).map(|pair| pair.1);
    if value("follow") != Some("1") {
        return response(StatusCode::OK, full_list(relay, host));
    }
    let since = value("since").and_then(|text| text.parse::<u64>().ok());
    let (sender, body) = Channel::<Bytes, Infallible>::new(WATCH_CAPACITY);
    tokio::task::spawn_local(watch_changes(relay, since, sender, host.clone()));
    Response::new(body.boxed_unsync())
}

fn json_line(relay: usize, reset: bool, servers: &[usize], host: &Shared) -> String {
    let day = host.day.borrow();
    let json = day.servers.endpoints.json(reset, servers, |server| host.servers[relay][server].to_string());
    json.to_string() + "\n"
}

/// The complete list. The relay counts as notified of all of it.
fn full_list(relay: usize, host: &Shared) -> String {
    let present = host.day.borrow().servers.endpoints.present();
    let line = json_line(relay, true, &present, host);
    // Servers missing from the list are removed, and the relay is notified of that as well.
    let all: Vec<usize> = (0..host.day.borrow().servers.len()).collect();
    host.with(|day, now, todo| day.list_sent(now, relay, &all, &mut todo.server_events));
    line
}

/// Writes the changes since the version `since`, or else the complete list, and then further changes until
/// the relay closes the connection or discovery becomes unavailable.
async fn watch_changes(
    relay: usize,
    since: Option<u64>,
    mut sender: Sender<Bytes, Infallible>,
    host: Shared,
) {
    let mut changes = host.list_changes.subscribe();
    let mut sent_generation = match since {
        Some(generation) => generation,
        None => {
            let line = full_list(relay, &host);
            if sender.send_data(line.into()).await.is_err() {
                return;
            }
            host.day.borrow().servers.endpoints.generation
        }
    };
    let mut is_first = true;
    loop {
        wait_until_reachable(relay, &host).await;
        let (generation, changed) = {
            let day = host.day.borrow();
            let endpoints = &day.servers.endpoints;
            (endpoints.generation, endpoints.changed_since(sent_generation))
        };
        if is_first || generation > sent_generation {
            is_first = false;
            sent_generation = generation;
            let line = json_line(relay, false, &changed, &host);
            if sender.send_data(line.into()).await.is_err() {
                return;
            }
            host.with(|day, now, todo| day.list_sent(now, relay, &changed, &mut todo.server_events));
        }
        match tokio::time::timeout(KEEPALIVE_INTERVAL, changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                if sender.send_data(Bytes::from_static(b"\n")).await.is_err() {
                    return;
                }
            }
        }
        if host.list_down.get() {
            return;
        }
    }
}
