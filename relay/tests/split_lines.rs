//! Streams of lines that are split at any byte: the lines read are the lines sent, even if a second process
//! continues to read the stream after the bytes that the first process has read.
use hallrelay_config::facts::ReportOrder;
use hallrelay_relay::buffer::Buffer;
use hallrelay_relay::lines::{self, FirstLine};
use std::io::Write;
use tokio::net::{TcpListener, TcpStream};

const TEXT: &[u8] = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=low,d=2000,g=5c0f6e1a2b3d4c59\r\n\
    M 1\rnot an end\nneither\r\n\r\nBYE busy_reqs=7,x0=0.61\r\nhalf";

/// Capacities of the buffers in bytes. The initial one is less than a line, so that buffers must grow.
const INITIAL_CAPACITY: usize = 8;
const MAX_CAPACITY: usize = 8192;

async fn connected_pair() -> (std::net::TcpStream, TcpStream) {
    let listening_socket = TcpListener::bind("127.0.0.1:0").await.expect("bind a loopback port");
    let writer = std::net::TcpStream::connect(listening_socket.local_addr().expect("read the local address"))
        .expect("connect to the listening socket");
    writer.set_nodelay(true).expect("set TCP_NODELAY");
    (writer, listening_socket.accept().await.expect("accept the connection").0)
}

fn expected_lines() -> Vec<Vec<u8>> {
    lines::complete_lines(TEXT).map(<[u8]>::to_vec).collect()
}

fn take_all(buffer: &mut Buffer, into: &mut Vec<Vec<u8>>) {
    while let Some(line) = buffer.take_line() {
        into.push(line);
    }
}

async fn fill(buffer: &mut Buffer, stream: &TcpStream, count: usize) {
    let mut filled = 0;
    while filled < count {
        filled += buffer.fill(stream).await.expect("read from the stream");
    }
}

#[tokio::test]
async fn stream_split_at_any_byte_gives_same_lines() {
    for cut in 1..TEXT.len() {
        let (mut writer, stream) = connected_pair().await;
        let (mut buffer, mut received, mut fresh) =
            (Buffer::new(INITIAL_CAPACITY, MAX_CAPACITY), Vec::new(), Vec::new());
        for part in [&TEXT[..cut], &TEXT[cut..]] {
            writer.write_all(part).expect("write to the stream");
            let mut remaining = part.len();
            while remaining > 0 {
                remaining -= buffer.fill(&stream).await.expect("read from the stream");
                fresh.extend_from_slice(buffer.fresh());
            }
            take_all(&mut buffer, &mut received);
        }
        assert_eq!(received, expected_lines(), "cut at {cut}");
        // The bytes reported as new contain each complete line once.
        assert_eq!(
            lines::complete_lines(&fresh).map(<[u8]>::to_vec).collect::<Vec<_>>(),
            expected_lines(),
            "cut at {cut}"
        );
        assert_eq!(buffer.rest(), b"half", "cut at {cut}");
    }
}

#[tokio::test]
async fn second_process_continues_at_any_byte() {
    for cut in 0..TEXT.len() {
        let (mut writer, stream) = connected_pair().await;
        let (mut first, mut received) = (Buffer::new(INITIAL_CAPACITY, MAX_CAPACITY), Vec::new());
        writer.write_all(&TEXT[..cut]).expect("write to the stream");
        fill(&mut first, &stream, cut).await;
        let mut second = Buffer::holding(first.rest(), INITIAL_CAPACITY, MAX_CAPACITY);
        writer.write_all(&TEXT[cut..]).expect("write to the stream");
        fill(&mut second, &stream, TEXT.len() - cut).await;
        take_all(&mut second, &mut received);
        assert_eq!(received, expected_lines(), "cut at {cut}");
        assert_eq!(second.rest(), b"half", "cut at {cut}");
    }
}

/// A part of a line must never be parsed as a session request, a session end or a load report.
#[test]
fn partial_line_is_never_parsed_as_another_line() {
    let line = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=low,d=2000";
    let parsed = lines::parse_first_line(line);
    assert!(
        matches!(parsed, Some(FirstLine::Open(_))),
        "the complete line must be parsed as a session request"
    );
    let order = ReportOrder { load: Some(1), queue_delay: None, sessions: Some(0), by_cores: false };
    for cut in 0..line.len() {
        let complete: Vec<_> = lines::complete_lines(&line[..cut]).collect();
        assert!(complete.is_empty(), "cut at {cut}: {complete:?}");
        // The rest after the cut must not parse as a first line.
        assert!(cut == 0 || lines::parse_first_line(&line[cut..]).is_none(), "cut at {cut}");
        _ = lines::parse_backend_reply(&line[..cut], order);
    }
}
