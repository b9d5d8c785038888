//! First lines as clients format them and servers parse them.
use hallrelay_emulator::clients::ClientRequest;
use hallrelay_emulator::net::lines::{first_line, parse_first_line};

/// A relay may change only the remaining time of a first line.
#[test]
fn first_line_identifies_request_ignoring_timeout() {
    let request = ClientRequest {
        mark: 0xab,
        relay: 0,
        listener: 0,
        key: 7,
        group: 9,
        returned: true,
        retry: false,
        dial_timeout: 1_800_000,
        pre_existing_at: None,
        ended_after: None,
    };
    let line = first_line(&request, "low", None);
    assert_eq!(line, "OPEN 00000000000000ab 0000000000000007 c=low,d=1800,g=0000000000000009,again=1");
    let parsed = parse_first_line(&line).expect("parse the line that first_line formatted");
    assert_eq!(parsed.mark, 0xab);
    assert_eq!(parse_first_line(&line.replace("d=1800", "d=7")), Some(parsed.clone()));
    assert_ne!(parse_first_line(&line.replace("c=low", "c=high")), Some(parsed));
    assert_eq!(parse_first_line("OPEN ab 07 c=low,d=1"), None);
    assert_eq!(parse_first_line("OPEN 00000000000000ab 0000000000000007 c=low,d=x"), None);
}
