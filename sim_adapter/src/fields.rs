//! Access to the fields of a record or header by their offsets. All numbers are little-endian.

use hallrelay_balancer::types::Micros;

/// The bytes of a record or header. The caller has checked that they are complete; an offset beyond them
/// panics.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, offset: usize) -> [u8; N] {
        self.0[offset..offset + N].try_into().expect("the field offset is within the record")
    }

    /// Returns the byte at an offset.
    pub fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// Returns the 16-bit integer at an offset.
    pub fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// Returns the 32-bit integer at an offset.
    pub fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// Returns the 64-bit integer at an offset.
    pub fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// Returns the 32-bit floating-point number at an offset.
    pub fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(offset)))
    }

    /// Returns the time at an offset, which the protocol encodes in milliseconds as a 64-bit floating-point
    /// number. Returns 0 if the number is negative or not finite.
    pub fn micros(self, offset: usize) -> Micros {
        let millis = f64::from_le_bytes(self.bytes(offset));
        if millis.is_finite() && millis > 0.0 {
            (millis * 1000.0).round() as Micros
        } else {
            0
        }
    }
}
