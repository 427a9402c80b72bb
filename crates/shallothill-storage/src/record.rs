//! Encoding and parsing of one record.

use crate::position::Position;

/// `HEADER_BYTES` is the size of a record's header: length, position, checksum of the body,
/// checksum of the header.
///
/// The header has its own checksum, because a flipped bit in the length would otherwise look like
/// a torn record, and the log would drop an acknowledged record.
pub(crate) const HEADER_BYTES: usize = 20;

/// Disks write whole sectors; a sector that was never written reads as zeros.
const SECTOR_BYTES: usize = 512;

/// `Parsed` is the result of parsing a file at an offset.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Parsed<'a> {
    /// A complete record with its position and body.
    Record(Position, &'a [u8]),
    /// The end of the file.
    End,
    /// An incomplete record, left by a crash during a write.
    Torn,
    /// Bytes that differ from those written, with the check that failed.
    Damaged(&'static str),
}

/// `encode` appends the header and the body of a record to `buf`.
pub(crate) fn encode(position: Position, body: &[u8], buf: &mut Vec<u8>) {
    let start = buf.len();
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&position.0.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    let header_checksum = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&header_checksum.to_le_bytes());
    buf.extend_from_slice(body);
}

/// `next` parses the record at `offset`, which may be the end of `buf`.
pub(crate) fn parse(buf: &[u8], offset: usize) -> Parsed<'_> {
    let rest = &buf[offset.min(buf.len())..];
    if rest.is_empty() {
        return Parsed::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return Parsed::Torn;
    };
    if crc32fast::hash(&header[..16]) != u32_at(header, 16) {
        return torn_or_damaged(
            buf,
            offset,
            "the checksum of a record header does not match",
        );
    }
    let len = u32_at(header, 0) as usize;
    let Some(body) = body.get(..len) else {
        return Parsed::Torn;
    };
    if crc32fast::hash(body) != u32_at(header, 12) {
        return torn_or_damaged(buf, offset, "the checksum of a record body does not match");
    }
    Parsed::Record(Position(u64_at(header, 4)), body)
}

// Classifies a failed checksum. If a crash persists the size of a file before its data, the file
// ends in zeros that start at a sector boundary.
fn torn_or_damaged(buf: &[u8], offset: usize, reason: &'static str) -> Parsed<'static> {
    let zeros = buf[offset..].iter().rev().take_while(|b| **b == 0).count();
    let zeros_start = buf.len() - zeros;
    let sector_start = zeros_start.next_multiple_of(SECTOR_BYTES);
    if sector_start < buf.len() || zeros_start == offset {
        Parsed::Torn
    } else {
        Parsed::Damaged(reason)
    }
}

pub(crate) fn u32_at(buf: &[u8], at: usize) -> u32 {
    let mut b = [0; 4];
    b.copy_from_slice(&buf[at..at + 4]);
    u32::from_le_bytes(b)
}

pub(crate) fn u64_at(buf: &[u8], at: usize) -> u64 {
    let mut b = [0; 8];
    b.copy_from_slice(&buf[at..at + 8]);
    u64::from_le_bytes(b)
}
