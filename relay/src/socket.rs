//! Socket calls as Linux documents them: interrupted ones are made again, and failures to connect are told
//! apart by whether they lie at this machine or at the other one.
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// Makes a call till it is not interrupted (EINTR): nothing was done then, and nothing is wrong.
///
/// # Errors
/// All others that the call gives.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads what the runtime knows to be there.
///
/// # Errors
/// `WouldBlock` where nothing is; any other one is of a connection that is over.
pub fn try_read(stream: &TcpStream, to: &mut [u8]) -> io::Result<usize> {
    uninterrupted(|| stream.try_read(to))
}

/// Writes as much as there is room for.
///
/// # Errors
/// `WouldBlock` where there is none; any other one is of a connection that is over.
pub fn try_write(stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    uninterrupted(|| stream.try_write(bytes))
}

/// Why there is no connection.
#[derive(Debug)]
pub enum NotConnected {
    /// This machine could not begin one: no descriptor, port, memory or route just now. It tells nothing of the
    /// other side.
    Local(io::Error),
    /// The other side refused it, or can't be reached.
    Remote(io::Error),
    /// It did not come up in time.
    Late,
}

impl std::fmt::Display for NotConnected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NotConnected::Local(e) => write!(f, "this machine can't connect: {e}"),
            NotConnected::Remote(e) => write!(f, "{e}"),
            NotConnected::Late => write!(f, "no connection came up in time"),
        }
    }
}

/// Opens a socket at a start, for which the machine may have no room at the moment: tried again for 5 s, of the
/// 10 s in which a start is owed.
///
/// # Errors
/// Any other one, at once; the last one as the time is over.
pub async fn once_there_is_room<T, F>(mut open: impl FnMut() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    const PATIENCE: Duration = Duration::from_secs(5);
    const REST: Duration = Duration::from_millis(20);
    const NO_ROOM: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let by = Instant::now() + PATIENCE;
    loop {
        match open().await {
            Err(e) if e.raw_os_error().is_some_and(|n| NO_ROOM.contains(&n)) && Instant::now() < by => {
                sleep(REST).await;
            }
            done => return done,
        }
    }
}

/// Whether a failure of this machine's may be of the way to one address alone.
pub fn may_be_one_way(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| [libc::ENETUNREACH, libc::EADDRNOTAVAIL].contains(&number))
}

/// Whether a failure to connect lies at this machine.
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

/// Connects. While this machine can't, it is tried again, bounded by `by`, unless `is_remote` says of the error that
/// it lies at the other side after all.
///
/// # Errors
/// As `NotConnected` tells.
pub async fn connect(
    addr: SocketAddr,
    by: Instant,
    is_remote: impl Fn(&io::Error) -> bool,
) -> Result<TcpStream, NotConnected> {
    // Seldom enough not to spin, often against the shortest limit of a connect (40 ms).
    const REST: Duration = Duration::from_millis(10);
    let mut local = None;
    let attempts = async {
        loop {
            match TcpStream::connect(addr).await {
                Err(e) if is_local(&e) && !is_remote(&e) => local = Some(e),
                done => return done,
            }
            sleep(REST).await;
        }
    };
    match timeout_at(by, attempts).await {
        Ok(Ok(stream)) => {
            // Lines are short and wait for nothing.
            _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Ok(Err(e)) => Err(NotConnected::Remote(e)),
        Err(_) => Err(local.map_or(NotConnected::Late, NotConnected::Local)),
    }
}

/// A connection for code that takes an interruption for its end. A short read or write is followed by the next
/// one at once: the runtime's own streams take it for the last that there is, and wait for the system to say
/// more, which it does only as more comes.
pub struct Steady(pub TcpStream);

impl AsyncRead for Steady {
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

impl AsyncWrite for Steady {
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
