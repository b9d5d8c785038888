//! Encoding and decoding of messages, and the bounds that are checked when decoding.
use crate::message::{Message, RelayState, ServerState, SessionState, VERSION};

/// Longest encoded message in bytes, including the newline. Enough for about ten thousand servers and
/// sessions.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Longest name or address, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest number of buffered bytes of a session per direction.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Largest number of unanswered messages of a session.
const MAX_UNANSWERED: usize = 64;
/// Largest magnitude of a number in a message.
const MAX_QUANTITY: f64 = 1e9;

/// Why a message could not be encoded or decoded. The old process sends the text of a decoding error to the
/// new one as the reason of a rejection, so that a changed text changes the bytes on the wire.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message cannot be encoded as JSON.
    #[error("encoding a message as JSON failed: {0}")]
    Encode(#[source] serde_json::Error),
    /// The encoded message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("an encoded message has {bytes} bytes, at most {MAX_MESSAGE_BYTES} are allowed")]
    EncodedTooLong {
        /// Length of the encoded message, in bytes.
        bytes: usize,
    },
    /// The received line is longer than [`MAX_MESSAGE_BYTES`].
    #[error("a message is over {MAX_MESSAGE_BYTES} bytes")]
    ReceivedTooLong,
    /// The line is not a valid message.
    #[error("not a message: {0}")]
    Decode(#[source] serde_json::Error),
    /// The other process uses another version of the messages.
    #[error("version {found} of the handover, wanted {VERSION}")]
    Version {
        /// Version of the other process.
        found: u32,
    },
    /// A name or an address is longer than [`MAX_NAME_BYTES`].
    #[error("a name is over {MAX_NAME_BYTES} bytes")]
    NameTooLong,
    /// A session has more buffered bytes or unanswered messages than a relay allows.
    #[error("a session with too much under way")]
    SessionTooLarge,
    /// A number or the name of a server is out of its bounds.
    #[error("what is told of server {server:.40} can't be")]
    InvalidServer {
        /// Name of the server.
        server: String,
    },
    /// The load of one session, as part of a server's capacity, is out of its bounds.
    #[error("step is {session_load}")]
    InvalidSessionLoad {
        /// The received value.
        session_load: f64,
    },
}

/// Encodes a message as a line, including the newline.
///
/// # Errors
/// [`MessageError::Encode`], [`MessageError::EncodedTooLong`].
pub fn encode(message: &Message) -> Result<Vec<u8>, MessageError> {
    let mut line = serde_json::to_vec(message).map_err(MessageError::Encode)?;
    line.push(b'\n');
    if line.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::EncodedTooLong { bytes: line.len() });
    }
    Ok(line)
}

/// Decodes a line without its newline and checks all bounds.
///
/// # Errors
/// All errors of [`MessageError`] except those of encoding.
pub fn decode(line: &[u8]) -> Result<Message, MessageError> {
    if line.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::ReceivedTooLong);
    }
    let message: Message = serde_json::from_slice(line).map_err(MessageError::Decode)?;
    match &message {
        Message::Hello { version, name, listen } => {
            check_version(*version)?;
            check_name(name)?;
            check_name(listen)?;
        }
        Message::Offer { version } => check_version(*version)?,
        Message::Session(session) => check_session(session)?,
        Message::TakeOver(state) => check_state(state)?,
        Message::Rejected { .. }
        | Message::Ready {}
        | Message::Remaining { .. }
        | Message::EndpointList { .. } => {}
    }
    Ok(message)
}

fn check_version(found: u32) -> Result<(), MessageError> {
    match found {
        VERSION => Ok(()),
        _ => Err(MessageError::Version { found }),
    }
}

fn check_name(name: &str) -> Result<(), MessageError> {
    match name.len() {
        0..=MAX_NAME_BYTES => Ok(()),
        _ => Err(MessageError::NameTooLong),
    }
}

fn check_session(session: &SessionState) -> Result<(), MessageError> {
    let buffered = session.to_backend.len().max(session.to_client.len());
    if buffered > MAX_BUFFERED_BYTES || session.unanswered_ages.len() > MAX_UNANSWERED {
        return Err(MessageError::SessionTooLarge);
    }
    check_name(&session.listener)?;
    check_name(&session.server)
}

fn check_state(state: &RelayState) -> Result<(), MessageError> {
    for server in &state.servers {
        if !is_valid_server(server) {
            return Err(MessageError::InvalidServer { server: server.name.clone() });
        }
    }
    if !is_valid_quantity(state.session_load) {
        return Err(MessageError::InvalidSessionLoad { session_load: state.session_load });
    }
    Ok(())
}

fn is_valid_server(server: &ServerState) -> bool {
    let is_valid_report = server.report.is_none_or(|report| {
        [report.load, report.queue_delay, report.sessions].into_iter().all(is_valid_quantity)
    });
    server.name.len() <= MAX_NAME_BYTES
        && is_valid_report
        && is_valid_quantity(server.recently_placed.abs())
        && is_valid_quantity(server.slow_start_slot.interval_fraction)
}

fn is_valid_quantity(x: f64) -> bool {
    x.is_finite() && (0.0..=MAX_QUANTITY).contains(&x)
}
