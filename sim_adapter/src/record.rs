//! Decoding of event records, with the codes and field offsets that the simulator uses.

use crate::error::RecordError;
use crate::fields::Fields;
use hallrelay_balancer::types::{AdmissionRequest, DialEnd, Endpoint, Input, ListUpdate, LoadReport, Phase};
use hallrelay_config::facts::{RawReport, ReportOrder};

/// Size of an entry of the endpoint list, in bytes.
const ENDPOINT: usize = 21;
/// Maximum number of values in a load report.
pub const REPORT_VALUES: usize = 4;

/// An event for one relay.
pub enum Event<'a> {
    /// The relay starts.
    Start {
        /// Seed of the relay's random numbers.
        seed: u64,
        /// Settings of the relay, as JSON.
        settings: &'a [u8],
    },
    /// The relay stops.
    Stop,
    /// An input for the relay.
    Input(Input),
    /// An event that the protocol defines, but that the balancer does not use.
    Unused,
}

/// The decoder of one record.
pub struct Decoder<'a> {
    /// The record.
    pub fields: Fields<'a>,
    /// The tail of the frame, with data to which the record may refer.
    pub tail: &'a [u8],
    /// The order of the values in load reports.
    pub report_order: ReportOrder,
}

/// Offsets of a request's fields in a record.
struct RequestOffsets {
    flags: usize,
    listener: usize,
    key: usize,
    group: usize,
    time_remaining: usize,
}

impl<'a> Decoder<'a> {
    /// Decodes the event of this record.
    pub fn event(&self) -> Result<Event<'a>, RecordError> {
        let fields = self.fields;
        let input = match fields.u8(0) {
            0 => self.session_adopted(),
            1 => Input::TimerExpired { label: fields.u32(3) },
            2 => return Ok(Event::Start { seed: fields.u64(3), settings: self.tail_items(11, 1)? }),
            3 => self.probe_ended()?,
            4 => return Ok(Event::Unused),
            5 => Input::SessionEstablished { session: fields.u32(3), dial: u32::from(fields.u16(19)) },
            6 => self.endpoint_list()?,
            7 => self.session_requested(),
            8 => match self.measurement() {
                Some(input) => input,
                None => return Ok(Event::Unused),
            },
            9 => return Ok(Event::Stop),
            10 => self.dial_ended()?,
            11 => Input::SessionEnded { session: fields.u32(3) },
            code => return Err(RecordError::UnknownEvent(code)),
        };
        Ok(Event::Input(input))
    }

    fn session_adopted(&self) -> Input {
        let offsets = RequestOffsets { flags: 21, listener: 19, key: 34, group: 26, time_remaining: 7 };
        Input::SessionAdopted {
            session: self.fields.u32(3),
            server: self.fields.u32(22),
            request: self.request(offsets),
        }
    }

    fn session_requested(&self) -> Input {
        let offsets = RequestOffsets { flags: 7, listener: 16, key: 8, group: 22, time_remaining: 38 };
        Input::SessionRequested { session: self.fields.u32(3), request: self.request(offsets) }
    }

    fn request(&self, offsets: RequestOffsets) -> AdmissionRequest {
        /// The flag of a client that returns after its session was lost or migrated.
        const RETURNED: u8 = 16;
        AdmissionRequest {
            listener: self.fields.u16(offsets.listener) as usize,
            key: self.fields.u64(offsets.key),
            group: self.fields.u64(offsets.group),
            returned: self.fields.u8(offsets.flags) & RETURNED != 0,
            time_remaining: self.fields.micros(offsets.time_remaining),
        }
    }

    fn probe_ended(&self) -> Result<Input, RecordError> {
        let end = dial_end(self.fields.u16(7))?;
        let report = self.report(17)?;
        Ok(Input::ProbeEnded { server: self.fields.u32(3), end, report })
    }

    fn dial_ended(&self) -> Result<Input, RecordError> {
        Ok(Input::DialEnded {
            session: self.fields.u32(3),
            dial: u32::from(self.fields.u16(7)),
            end: dial_end(self.fields.u16(13))?,
            settled: self.fields.u8(23) != 0,
            report: self.report(24)?,
        })
    }

    /// Decodes a measurement of a session: its load, or its message delay, which the protocol encodes in
    /// milliseconds. Returns `None` if the balancer does not use this kind of measurement.
    fn measurement(&self) -> Option<Input> {
        let session = self.fields.u32(3);
        let value = self.fields.f32(14);
        match self.fields.u8(13) {
            1 => Some(Input::SessionLoad { session, load: value }),
            2 => Some(Input::MessageDelay { session, delay: value / 1000.0 }),
            _ => None,
        }
    }

    fn endpoint_list(&self) -> Result<Input, RecordError> {
        let update = match self.fields.u8(3) {
            0 => ListUpdate::WatchFailed,
            1 | 3 => ListUpdate::Snapshot,
            2 => ListUpdate::Delta,
            kind => return Err(RecordError::UnknownListKind(kind)),
        };
        let records = self.tail_items(12, ENDPOINT)?.chunks_exact(ENDPOINT);
        let endpoints = records.map(|record| endpoint(Fields(record))).collect::<Result<_, _>>()?;
        Ok(Input::EndpointList { update, endpoints })
    }

    /// Returns the bytes of the items in the tail to which this record refers. The record contains the
    /// position of the first item in the tail at `offset`, and the number of items at `offset + 4`.
    fn tail_items(&self, offset: usize, item_size: usize) -> Result<&'a [u8], RecordError> {
        let start = self.fields.u32(offset) as usize;
        let count = self.fields.u32(offset + 4) as usize;
        let end = count.checked_mul(item_size).and_then(|length| length.checked_add(start));
        let items = end.and_then(|end| self.tail.get(start..end));
        items.ok_or(RecordError::OutsideTail { count, start, length: self.tail.len() })
    }

    /// Decodes the load report at `offset`: the number of values, then the values in `report_order`. Returns
    /// `None` if the report has no values. A negative or non-finite value counts as not reported.
    fn report(&self, offset: usize) -> Result<Option<LoadReport>, RecordError> {
        let count = self.fields.u8(offset) as usize;
        if count > REPORT_VALUES {
            return Err(RecordError::LongReport(count));
        }
        let mut values: RawReport = [None; REPORT_VALUES];
        for (index, value) in values.iter_mut().enumerate().take(count) {
            let decoded = self.fields.f32(offset + 1 + 4 * index);
            *value = (decoded.is_finite() && decoded >= 0.0).then_some(decoded);
        }
        Ok((count > 0).then(|| self.report_order.pick(values)))
    }
}

fn dial_end(code: u16) -> Result<DialEnd, RecordError> {
    Ok(match code {
        1 => DialEnd::Ok,
        2 => DialEnd::Error,
        3 => DialEnd::Full,
        4 => DialEnd::Timeout,
        5 => DialEnd::Unconnected,
        6 => DialEnd::Reset,
        7 => DialEnd::Cancelled,
        8 => DialEnd::NotSent,
        _ => return Err(RecordError::UnknownOutcome(code)),
    })
}

fn endpoint(fields: Fields) -> Result<Endpoint, RecordError> {
    let phase = match fields.u8(19) {
        0 => Phase::Draining,
        1 => Phase::Ready,
        2 => Phase::Gone,
        phase => return Err(RecordError::UnknownPhase(phase)),
    };
    Ok(Endpoint {
        started_at: fields.micros(0),
        server: fields.u32(8),
        cell: fields.u16(16),
        zone: fields.u8(18),
        phase,
    })
}
