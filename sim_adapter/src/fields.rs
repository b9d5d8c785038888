//! Fields of a record by their offsets.

use hallrelay_balancer::types::Micros;

/// The bytes of a record that is known to be whole.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, offset: usize) -> [u8; N] {
        self.0[offset..offset + N].try_into().expect("offsets are fixed and inside the record")
    }

    /// A byte.
    pub fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// A number of 2 bytes.
    pub fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// A number of 4 bytes.
    pub fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// A number of 8 bytes.
    pub fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// A fraction of 4 bytes.
    pub fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(offset)))
    }

    /// A time, which the wire has in milliseconds; 0 where it is no time.
    pub fn micros(self, offset: usize) -> Micros {
        let millis = f64::from_le_bytes(self.bytes(offset));
        if millis.is_finite() && millis > 0.0 {
            (millis * 1000.0).round() as Micros
        } else {
            0
        }
    }
}
