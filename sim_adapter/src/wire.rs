//! The simulator's frames: batches of events in, replies of actions out. Little-endian, no padding.
use hallrelay_balancer::types::{Asked, DialEnd, Effect, Entry, Input, ListKind, Micros, Phase};
use hallrelay_config::facts::{RawReport, ReportOrder};
use std::io::{ErrorKind, Read};

const EVENT: usize = 56;
const ACTION: usize = 24;
const ENTRY: usize = 21;
const HEAD: usize = 16;

pub enum Event<'a> {
    Start {
        seed: u64,
        settings: &'a [u8],
    },
    Stop,
    Input(Input),
    /// Legal on the wire, but of no use to the decisions.
    Unused,
}

/// Reads one frame without its length; false at a clean end of input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    let mut length = [0u8; 4];
    let mut got = 0;
    while got < 4 {
        match input.read(&mut length[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => return Err(format!("input ends {got} bytes into a frame's length")),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("input: {e}")),
        }
    }
    let length = u32::from_le_bytes(length) as usize;
    frame.clear();
    let read = input.take(length as u64).read_to_end(frame).map_err(|e| format!("input: {e}"))?;
    if read < length {
        return Err(format!("input ends {read} bytes into a frame of {length}"));
    }
    Ok(true)
}

/// Fields of a record at their offsets; the caller has checked that the record is whole.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn take<const N: usize>(self, at: usize) -> [u8; N] {
        self.0[at..at + N].try_into().expect("offsets are fixed and inside the record")
    }
    fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.take(at))
    }
    fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.take(at))
    }
    fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.take(at))
    }
    fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.take(at)))
    }
    fn micros(self, at: usize) -> Micros {
        let ms = f64::from_le_bytes(self.take(at));
        if ms.is_finite() && ms > 0.0 {
            (ms * 1000.0).round() as Micros
        } else {
            0
        }
    }
}

/// A report as the wire carries it: its values in the order of the site's fields.
fn report(f: Fields, at: usize, what: &dyn Fn(String) -> String) -> Result<Option<RawReport>, String> {
    let n = f.u8(at) as usize;
    if n > 4 {
        return Err(what(format!("load report of {n} values, at most 4")));
    }
    let mut values = [None; 4];
    for (i, value) in values.iter_mut().enumerate().take(n) {
        let x = f.f32(at + 1 + 4 * i);
        *value = (x.is_finite() && x >= 0.0).then_some(x);
    }
    Ok((n > 0).then_some(values))
}

pub struct Batch<'a> {
    pub now: Micros,
    pub count: usize,
    pub number: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn open(frame: &'a [u8]) -> Result<Self, String> {
        if frame.len() < HEAD {
            return Err(format!("a frame of {} bytes is shorter than its header", frame.len()));
        }
        let f = Fields(frame);
        let (count, number) = (f.u32(8) as usize, f.u32(12));
        let body = &frame[HEAD..];
        if count > body.len() / EVENT {
            return Err(format!("batch {number}: {count} records do not fit in {} bytes", body.len()));
        }
        let (records, tail) = body.split_at(count * EVENT);
        Ok(Batch { now: f.micros(0), count, number, records, tail })
    }

    fn tail(&self, f: Fields, at: usize, size: usize, index: usize) -> Result<&'a [u8], String> {
        let (from, n) = (f.u32(at) as usize, f.u32(at + 4) as usize);
        let end = n.checked_mul(size).and_then(|len| len.checked_add(from));
        end.and_then(|end| self.tail.get(from..end)).ok_or_else(|| {
            let (number, len) = (self.number, self.tail.len());
            format!("batch {number}, record {index}: {n} items at {from} lie outside a tail of {len} bytes")
        })
    }

    pub fn event(
        &self,
        index: usize,
        order: impl Fn(u16) -> ReportOrder,
    ) -> Result<(u16, Event<'a>), String> {
        let f = Fields(&self.records[index * EVENT..(index + 1) * EVENT]);
        let what = |text: String| format!("batch {}, record {index}: {text}", self.number);
        let instance = f.u16(1);
        let asked = |flags, listener, key, group, left| Asked {
            listener: f.u16(listener) as usize,
            key: f.u64(key),
            group: f.u64(group),
            returned: f.u8(flags) & 16 != 0,
            left: f.micros(left),
        };
        let input = match f.u8(0) {
            0 => Input::AlreadyOpen { sess: f.u32(3), server: f.u32(22), asked: asked(21, 19, 34, 26, 7) },
            1 => Input::Alarm { label: f.u32(3) },
            2 => {
                let settings = self.tail(f, 11, 1, index)?;
                return Ok((instance, Event::Start { seed: f.u64(3), settings }));
            }
            3 => Input::Probed {
                server: f.u32(3),
                end: dial_end(f.u16(7)).ok_or_else(|| what(format!("unknown outcome {}", f.u16(7))))?,
                report: report(f, 17, &what)?.map(|raw| order(instance).pick(raw)),
            },
            4 => return Ok((instance, Event::Unused)),
            5 => Input::Stands { sess: f.u32(3), dial: u32::from(f.u16(19)) },
            6 => {
                let kind = match f.u8(3) {
                    0 => ListKind::Broken,
                    1 | 3 => ListKind::Full,
                    2 => ListKind::Changes,
                    k => return Err(what(format!("unknown list kind {k}"))),
                };
                let bytes = self.tail(f, 12, ENTRY, index)?;
                let entries = bytes.chunks_exact(ENTRY).map(|b| entry(Fields(b)).map_err(what));
                Input::List { kind, entries: entries.collect::<Result<_, _>>()? }
            }
            7 => Input::Asked { sess: f.u32(3), asked: asked(7, 16, 8, 22, 38) },
            8 if f.u8(13) == 1 => Input::Load { sess: f.u32(3), load: f.f32(14) },
            8 if f.u8(13) == 2 => Input::Delay { sess: f.u32(3), delay: f.f32(14) / 1000.0 },
            8 => return Ok((instance, Event::Unused)),
            9 => return Ok((instance, Event::Stop)),
            10 => Input::DialEnded {
                sess: f.u32(3),
                dial: u32::from(f.u16(7)),
                end: dial_end(f.u16(13)).ok_or_else(|| what(format!("unknown outcome {}", f.u16(13))))?,
                settled: f.u8(23) != 0,
                report: report(f, 24, &what)?.map(|raw| order(instance).pick(raw)),
            },
            11 => Input::Left { sess: f.u32(3) },
            code => return Err(what(format!("unknown event code {code}"))),
        };
        Ok((instance, Event::Input(input)))
    }
}

fn dial_end(status: u16) -> Option<DialEnd> {
    use DialEnd::*;
    [Ok, Error, Full, Timeout, Unconnected, Reset, Recalled, Moot]
        .get(usize::from(status).checked_sub(1)?)
        .copied()
}

fn entry(f: Fields) -> Result<Entry, String> {
    let phase = match f.u8(19) {
        0 => Phase::Draining,
        1 => Phase::Ready,
        2 => Phase::Gone,
        p => return Err(format!("unknown phase {p}")),
    };
    Ok(Entry { came_up: f.micros(0), server: f.u32(8), cell: f.u16(16), zone: f.u8(18), phase })
}

pub struct Reply {
    number: u32,
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        Reply { number, count: 0, records: vec![0; 12], tail: Vec::new() }
    }

    fn record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        self.records.resize(end, 0);
        self.count += 1;
    }

    pub fn effect(&mut self, instance: u16, effect: &Effect) {
        let ms = |t: Micros| (t as f64 / 1000.0).to_le_bytes();
        match *effect {
            Effect::Dial { sess, server, wait, .. } => {
                self.record(64, instance, &[&sess.to_le_bytes(), &server.to_le_bytes(), &ms(wait)]);
            }
            Effect::Refuse { sess, retry_after } => {
                self.record(65, instance, &[&sess.to_le_bytes(), &ms(retry_after)]);
            }
            Effect::TearDown { sess } => self.record(66, instance, &[&sess.to_le_bytes()]),
            Effect::Alarm { after, label } => {
                self.record(68, instance, &[&ms(after), &label.to_le_bytes()]);
            }
            Effect::Probe { server } => self.record(69, instance, &[&server.to_le_bytes()]),
            Effect::Watch => self.record(74, instance, &[&[1]]),
            Effect::Move { sess } => self.record(76, instance, &[&sess.to_le_bytes()]),
        }
    }

    pub fn fault(&mut self, instance: u16, text: &str) {
        let (at, len) = (self.tail.len() as u32, text.len() as u32);
        self.record(73, instance, &[&at.to_le_bytes(), &len.to_le_bytes()]);
        self.tail.extend_from_slice(text.as_bytes());
    }

    pub fn close(mut self) -> Vec<u8> {
        let length = (self.records.len() + self.tail.len() - 4) as u32;
        self.records[..4].copy_from_slice(&length.to_le_bytes());
        self.records[4..8].copy_from_slice(&self.count.to_le_bytes());
        self.records[8..12].copy_from_slice(&self.number.to_le_bytes());
        self.records.append(&mut self.tail);
        self.records
    }
}
