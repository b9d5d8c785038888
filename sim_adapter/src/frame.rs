//! Frames of the simulator's wire: a length, then a header, records of fixed size, and a tail that records
//! refer to. Little-endian, no padding.

use crate::error::WireError;
use crate::fields::Fields;
use crate::record::{Decoder, Event};
use hallrelay_balancer::types::Micros;
use hallrelay_config::facts::ReportOrder;
use std::io::{ErrorKind, Read};

/// Bytes of the header.
const HEADER: usize = 16;
/// Bytes of an event's record.
const EVENT: usize = 56;

/// Reads one frame without its length; false at a clean end of input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, WireError> {
    let Some(length) = read_length(input)? else { return Ok(false) };
    frame.clear();
    let read = input.take(length as u64).read_to_end(frame).map_err(WireError::Input)?;
    if read < length {
        return Err(WireError::TruncatedFrame { read, length });
    }
    Ok(true)
}

/// The length of the next frame; none at a clean end of input.
fn read_length(input: &mut impl Read) -> Result<Option<usize>, WireError> {
    let mut length = [0u8; 4];
    let mut read = 0;
    while read < length.len() {
        match input.read(&mut length[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(WireError::TruncatedLength { read }),
            Ok(n) => read += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(WireError::Input(e)),
        }
    }
    Ok(Some(u32::from_le_bytes(length) as usize))
}

/// A frame's batch of events, all of one moment.
pub struct Batch<'a> {
    /// The moment.
    pub now: Micros,
    /// Events in it.
    pub count: usize,
    /// Handed back in the reply.
    pub number: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Reads the header, and checks that all records are there.
    pub fn open(frame: &'a [u8]) -> Result<Self, WireError> {
        if frame.len() < HEADER {
            return Err(WireError::ShortFrame { length: frame.len() });
        }
        let header = Fields(frame);
        let (count, number) = (header.u32(8) as usize, header.u32(12));
        let body = &frame[HEADER..];
        if count > body.len() / EVENT {
            return Err(WireError::TooManyRecords { batch: number, count, length: body.len() });
        }
        let (records, tail) = body.split_at(count * EVENT);
        Ok(Batch { now: header.micros(0), count, number, records, tail })
    }

    /// Decodes one event, and the number of the relay that it is for. `report_order` tells how a relay's load
    /// reports are to be read.
    pub fn event(
        &self,
        index: usize,
        report_order: impl Fn(u16) -> ReportOrder,
    ) -> Result<(u16, Event<'a>), WireError> {
        let fields = Fields(&self.records[index * EVENT..(index + 1) * EVENT]);
        let instance = fields.u16(1);
        let decoder = Decoder { fields, tail: self.tail, report_order: report_order(instance) };
        let event = decoder.event();
        let event = event.map_err(|source| WireError::Record { batch: self.number, index, source })?;
        Ok((instance, event))
    }
}
