//! Encoding of replies. A reply is a frame with the effects of a batch as records of fixed size, and a tail
//! with the error texts to which records refer.

use hallrelay_balancer::types::{Effect, Micros};

/// Size of a record, in bytes.
const RECORD: usize = 24;
/// Size of the first three fields of a reply, in bytes: its length, the number of records, and the number of
/// the batch. Unlike the header of a batch, it includes the length field.
const HEADER: usize = 12;

/// Codes of the records.
mod code {
    pub const DIAL: u8 = 64;
    pub const REJECT: u8 = 65;
    pub const TEAR_DOWN: u8 = 66;
    pub const SET_TIMER: u8 = 68;
    pub const PROBE: u8 = 69;
    pub const FAILURE: u8 = 73;
    pub const WATCH: u8 = 74;
    pub const MIGRATE: u8 = 76;
}

/// The reply to one batch.
pub struct Reply {
    number: u32,
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(number: u32) -> Self {
        Reply { number, count: 0, records: vec![0; HEADER], tail: Vec::new() }
    }

    fn add_record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let end = self.records.len() + RECORD;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Adds an effect of a relay.
    pub fn add_effect(&mut self, instance: u16, effect: &Effect) {
        match *effect {
            Effect::Dial { session, server, timeout, .. } => {
                let fields: [&[u8]; 3] = [&session.to_le_bytes(), &server.to_le_bytes(), &millis(timeout)];
                self.add_record(code::DIAL, instance, &fields);
            }
            Effect::Reject { session, retry_after } => {
                self.add_record(code::REJECT, instance, &[&session.to_le_bytes(), &millis(retry_after)]);
            }
            Effect::TearDown { session } => {
                self.add_record(code::TEAR_DOWN, instance, &[&session.to_le_bytes()]);
            }
            Effect::SetTimer { after, label } => {
                self.add_record(code::SET_TIMER, instance, &[&millis(after), &label.to_le_bytes()]);
            }
            Effect::Probe { server } => self.add_record(code::PROBE, instance, &[&server.to_le_bytes()]),
            Effect::WatchEndpoints => self.add_record(code::WATCH, instance, &[&[1]]),
            Effect::Migrate { session } => {
                self.add_record(code::MIGRATE, instance, &[&session.to_le_bytes()]);
            }
        }
    }

    /// Adds the error that prevents a relay from starting.
    pub fn add_failure(&mut self, instance: u16, text: &str) {
        let (start, length) = (self.tail.len() as u32, text.len() as u32);
        self.add_record(code::FAILURE, instance, &[&start.to_le_bytes(), &length.to_le_bytes()]);
        self.tail.extend_from_slice(text.as_bytes());
    }

    /// Returns the encoded frame. Its length field does not include its own 4 bytes.
    pub fn into_frame(mut self) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len() - 4) as u32;
        self.records[..4].copy_from_slice(&length.to_le_bytes());
        self.records[4..8].copy_from_slice(&self.count.to_le_bytes());
        self.records[8..12].copy_from_slice(&self.number.to_le_bytes());
        self.records.append(&mut self.tail);
        self.records
    }
}

/// Encodes a time as the protocol requires: in milliseconds, as a 64-bit floating-point number.
fn millis(time: Micros) -> [u8; 8] {
    (time as f64 / 1000.0).to_le_bytes()
}
