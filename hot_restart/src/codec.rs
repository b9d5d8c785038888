//! Encoding and decoding of messages, and the bounds that a decoded message keeps.
use crate::message::{Message, RelayState, ServerState, SessionState, VERSION};

/// Bytes that a message may have as a line, its end included: some ten thousand servers and sessions.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Bytes that a name or an address may have.
const MAX_NAME_BYTES: usize = 256;
/// Bytes that a session may have buffered in one direction.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Messages of a session that may be unanswered.
const MAX_UNANSWERED: usize = 64;
/// The largest magnitude of any quantity in a message.
const MAX_QUANTITY: f64 = 1e9;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The message can't be written as JSON.
    #[error("a message can't be written: {0}")]
    Encode(#[source] serde_json::Error),
    /// The encoded message is over [`MAX_MESSAGE_BYTES`].
    #[error("a message of {bytes} bytes is too long")]
    EncodedTooLong {
        /// Bytes of the line.
        bytes: usize,
    },
    /// The received line is over [`MAX_MESSAGE_BYTES`].
    #[error("a message is over {MAX_MESSAGE_BYTES} bytes")]
    ReceivedTooLong,
    /// The line is no message.
    #[error("not a message: {0}")]
    Decode(#[source] serde_json::Error),
    /// The other process speaks another version.
    #[error("version {found} of the handover, wanted {VERSION}")]
    Version {
        /// The other process' version.
        found: u32,
    },
    /// A name or an address is too long.
    #[error("a name is over {MAX_NAME_BYTES} bytes")]
    NameTooLong,
    /// A session has more bytes buffered or more messages unanswered than a relay allows.
    #[error("a session with too much under way")]
    SessionTooLarge,
    /// A quantity of a server is out of its bounds.
    #[error("what is told of server {server:.40} can't be")]
    InvalidServer {
        /// The server's name.
        server: String,
    },
    /// One session's part of a server is out of its bounds.
    #[error("step is {session_load}")]
    InvalidSessionLoad {
        /// The value that was received.
        session_load: f64,
    },
}

/// A message as a line, its end included.
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

/// Decodes a line, without its end, and checks all bounds.
///
/// # Errors
/// All of [`MessageError`] but those of encoding.
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
