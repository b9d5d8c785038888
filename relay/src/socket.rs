//! Socket calls with the error handling that Linux documents: interrupted calls are repeated, and a failure
//! to connect is attributed to this machine or to the remote side.
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// Repeats a call while it is interrupted (`EINTR`); an interrupted call has done nothing.
///
/// # Errors
/// All other errors of the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads what has arrived, without waiting.
///
/// # Errors
/// `WouldBlock` if nothing has arrived, or if the runtime has not yet noticed that the stream is readable.
/// Any other error means that the connection has ended.
pub fn try_read(stream: &TcpStream, to: &mut [u8]) -> io::Result<usize> {
    uninterrupted(|| stream.try_read(to))
}

/// Writes as many bytes as the system accepts, without waiting.
///
/// # Errors
/// `WouldBlock` if the system accepts none. Any other error means that the connection has ended.
pub fn try_write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    uninterrupted(|| stream.try_write(bytes))
}

/// Why a connection was not established. The texts do not name the address; the caller's log line does.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// At least one attempt failed on this machine, which had no free descriptor, port, memory or route, and
    /// no attempt succeeded by the deadline. The error is the last local one. The remote side is not blamed.
    #[error("not connected by the deadline; last failure of an attempt on this machine: {0}")]
    Local(#[source] io::Error),
    /// The remote side refused the connection, or is unreachable.
    #[error("the remote side refused the connection or is unreachable: {0}")]
    Remote(#[source] io::Error),
    /// The only attempt had neither succeeded nor failed by the deadline.
    #[error("the connection attempt had no result by the deadline")]
    TimedOut,
}

/// How long a starting process retries to open a socket while the machine lacks resources. A relay must be
/// ready within 10 s of its start.
const RESOURCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between attempts of a starting process to open a socket.
const RESOURCE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Delay between attempts to connect that fail on this machine. Long enough not to spin, short enough for
/// several attempts within the shortest connect timeout (40 ms).
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Opens a socket when a process starts. Retries for 5 s while the machine lacks the descriptors, buffers or
/// memory for the socket.
///
/// # Errors
/// The last error of that kind after 5 s; any other error immediately.
pub async fn retry_while_out_of_resources<T, F>(mut open: impl FnMut() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    const OUT_OF_RESOURCES: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let deadline = Instant::now() + RESOURCE_TIMEOUT;
    loop {
        match open().await {
            Err(e)
                if e.raw_os_error().is_some_and(|n| OUT_OF_RESOURCES.contains(&n))
                    && Instant::now() < deadline =>
            {
                sleep(RESOURCE_RETRY_INTERVAL).await;
            }
            done => return done,
        }
    }
}

/// Whether a failure to connect may affect only the route to one address, and not all connects of this
/// machine.
pub fn may_affect_only_one_route(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| [libc::ENETUNREACH, libc::EADDRNOTAVAIL].contains(&number))
}

/// Whether the system reports a failure to connect as one of this machine.
fn is_local(error: &io::Error) -> bool {
    const LOCAL: [i32; 9] = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EAGAIN,
        libc::EINTR,
    ];
    error.raw_os_error().is_some_and(|number| LOCAL.contains(&number))
}

/// Connects before a deadline, and retries after failures of this machine. A failure that the system reports
/// as one of this machine is not retried if `is_remote` returns true for it: it then counts as remote.
///
/// # Errors
/// See `ConnectError`.
pub async fn connect(
    addr: SocketAddr,
    deadline: Instant,
    is_remote: impl Fn(&io::Error) -> bool,
) -> Result<TcpStream, ConnectError> {
    let mut local = None;
    let attempts = async {
        loop {
            match TcpStream::connect(addr).await {
                Err(e) if is_local(&e) && !is_remote(&e) => local = Some(e),
                done => return done,
            }
            sleep(CONNECT_RETRY_INTERVAL).await;
        }
    };
    match timeout_at(deadline, attempts).await {
        Ok(Ok(stream)) => {
            // The lines of the protocol are short, and Nagle's algorithm would delay them.
            _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Ok(Err(e)) => Err(ConnectError::Remote(e)),
        Err(_) => Err(local.map_or(ConnectError::TimedOut, ConnectError::Local)),
    }
}

/// A stream that repeats interrupted calls, for libraries that would treat an interrupted call as the end of
/// the stream.
///
/// After a read or write of fewer bytes than requested, the next call is attempted immediately. The runtime's
/// own streams would first wait until the system signals again that the socket is readable or writable.
pub struct RetryingStream(pub TcpStream);

impl AsyncRead for RetryingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match try_read(&self.0, to.initialize_unfilled()) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|count| to.advance(count))),
            }
        }
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match try_write(&self.0, bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                wrote => return Poll::Ready(wrote),
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
