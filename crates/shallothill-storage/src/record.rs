//! The bytes of one record.

use crate::position::Position;

/// `HEAD` is the size of a record's head: length, position, checksum of the body, checksum of
/// the head.
///
/// The head has a checksum of its own: a flipped bit in the length would otherwise look like a
/// record that a crash cut short, and a record that was acknowledged would be dropped.
pub(crate) const HEAD: usize = 20;

/// Disks write whole sectors; a sector that never reached the disk reads as zeros.
const SECTOR: usize = 512;

/// `Next` is what stands at a place of a file.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Next<'a> {
    /// A whole record.
    Record(Position, &'a [u8]),
    /// The end of the file.
    End,
    /// A record that a crash cut short.
    Torn,
    /// Bytes that nobody wrote.
    Damaged(&'static str),
}

/// `encode` appends a record to `buf`.
pub(crate) fn encode(position: Position, body: &[u8], buf: &mut Vec<u8>) {
    let start = buf.len();
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&position.0.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    let head = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&head.to_le_bytes());
    buf.extend_from_slice(body);
}

/// `next` reads what stands at `at`.
pub(crate) fn next(buf: &[u8], at: usize) -> Next<'_> {
    let rest = &buf[at.min(buf.len())..];
    if rest.is_empty() {
        return Next::End;
    }
    let Some((head, body)) = rest.split_at_checked(HEAD) else {
        return Next::Torn;
    };
    if crc32fast::hash(&head[..16]) != u32_at(head, 16) {
        return unwritten_or(buf, at, "the head of a record has another checksum");
    }
    let len = u32_at(head, 0) as usize;
    let Some(body) = body.get(..len) else {
        return Next::Torn;
    };
    if crc32fast::hash(body) != u32_at(head, 12) {
        return unwritten_or(buf, at, "the body of a record has another checksum");
    }
    Next::Record(Position(u64_at(head, 4)), body)
}

// A file whose size reached the disk before its data ends in zeros from a sector's start on.
fn unwritten_or(buf: &[u8], at: usize, what: &'static str) -> Next<'static> {
    let zeros = buf[at..].iter().rev().take_while(|b| **b == 0).count();
    let from = buf.len() - zeros;
    let sector = from.next_multiple_of(SECTOR);
    if sector < buf.len() || from == at {
        Next::Torn
    } else {
        Next::Damaged(what)
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
