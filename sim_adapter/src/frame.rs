//! Frames of the simulator's protocol. A frame consists of a length (32 bits, without the length field
//! itself), a header, records of fixed size, and a tail with data to which the records refer. The header
//! consists of the time of the batch (8 bytes), the number of records (4 bytes) and the number of the batch
//! (4 bytes). Numbers are little-endian, and fields are not padded.

use crate::error::WireError;
use crate::fields::Fields;
use crate::record::{Decoder, Event};
use hallrelay_balancer::types::Micros;
use hallrelay_config::facts::ReportOrder;
use std::io::{ErrorKind, Read};

/// Size of a frame's header, in bytes. The length field is not part of the header.
pub const HEADER: usize = 16;
/// Size of an event record, in bytes.
pub const EVENT: usize = 56;

/// Reads the next frame into `frame`, without its length field. Returns false at the end of the input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, WireError> {
    let Some(length) = read_length(input)? else { return Ok(false) };
    frame.clear();
    let read = input.take(length as u64).read_to_end(frame).map_err(WireError::Input)?;
    if read < length {
        return Err(WireError::TruncatedFrame { read, length });
    }
    Ok(true)
}

/// Reads the length of the next frame. Returns `None` at the end of the input.
fn read_length(input: &mut impl Read) -> Result<Option<usize>, WireError> {
    let mut length = [0u8; 4];
    let mut read = 0;
    while read < length.len() {
        match input.read(&mut length[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(WireError::TruncatedLength { read }),
            Ok(count) => read += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(WireError::Input(error)),
        }
    }
    Ok(Some(u32::from_le_bytes(length) as usize))
}

/// The batch of events in a frame. All of its events occur at the same time.
pub struct Batch<'a> {
    /// The time of the events.
    pub now: Micros,
    /// Number of events in the batch.
    pub count: usize,
    /// Number that the simulator assigned to the batch. The reply repeats it.
    pub number: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Reads the header, and checks that the frame contains all records.
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

    /// Decodes the event at `index`. Returns the number of the event's relay and the event. `report_order`
    /// returns the order of the values in the load reports that the relay with a given number receives.
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
