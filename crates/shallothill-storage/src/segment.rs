//! Segments: the files that hold the records of a log.

use std::path::Path;

use snafu::ResultExt;

use crate::errors;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::manifest;
use crate::manifest::{Manifest, SegmentRef};
use crate::position::Position;
use crate::record;
use crate::record::Parsed;
use crate::restored::{RestoredLog, RestoredRecord};

const MAGIC: &[u8; 8] = b"SHLOG001";
const HEADER_BYTES: usize = 20;

/// `Segment` holds the offsets of the records in one file.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) segment_ref: SegmentRef,
    /// The offset after each record.
    record_ends: Vec<u64>,
}

/// `ScannedSegment` holds the records of one segment and the bytes of a torn record after them.
pub(crate) struct ScannedSegment {
    pub(crate) segment: Segment,
    pub(crate) records: Vec<RestoredRecord>,
    pub(crate) torn_bytes: u64,
}

impl Segment {
    /// `create` writes the header of an empty segment durably.
    pub(crate) fn create<F: FileOps>(
        f: &F,
        dir: &Path,
        log: &str,
        segment_ref: SegmentRef,
    ) -> Result<(Self, F::File)> {
        let path = dir.join(manifest::segment_file_name(log, segment_ref.seq));
        let mut file = f
            .create(&path)
            .map_err(|e| Error::file("create", &path, e))?;
        let mut header = MAGIC.to_vec();
        header.extend_from_slice(&segment_ref.first.0.to_le_bytes());
        header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
        f.write(&mut file, &header)
            .map_err(|e| Error::file("write", &path, e))?;
        f.sync(&file)
            .context(errors::SyncFailedSnafu { path: &path })?;
        f.sync_dir(dir)
            .context(errors::SyncFailedSnafu { path: dir })?;
        let record_ends = Vec::new();
        Ok((
            Self {
                segment_ref,
                record_ends,
            },
            file,
        ))
    }

    /// `scan` reads and checks a segment; only the newest one of a log may end in a torn record.
    pub(crate) fn scan<F: FileOps>(
        f: &F,
        dir: &Path,
        log: &str,
        segment_ref: SegmentRef,
        newest: bool,
    ) -> Result<ScannedSegment> {
        let path = dir.join(manifest::segment_file_name(log, segment_ref.seq));
        let buf = f
            .read(&path)
            .map_err(|e| Error::file("read", &path, e))?
            .ok_or_else(|| Error::damaged(&path, "it is missing"))?;
        check_header(&buf, segment_ref, &path)?;
        let mut segment = Self {
            segment_ref,
            record_ends: Vec::new(),
        };
        let (mut records, mut offset) = (Vec::new(), HEADER_BYTES);
        let torn_bytes = loop {
            match record::parse(&buf, offset) {
                Parsed::Record(position, body) if position == segment.last_position().next() => {
                    offset += record::HEADER_BYTES + body.len();
                    segment.record_ends.push(offset as u64);
                    records.push(RestoredRecord {
                        position,
                        bytes: body.to_vec(),
                    });
                }
                Parsed::Record(position, _) => {
                    let reason = format!("position {position} follows {}", segment.last_position());
                    return Err(Error::damaged(&path, reason));
                }
                Parsed::End => break 0,
                Parsed::Torn if newest => break (buf.len() - offset) as u64,
                Parsed::Torn => return Err(Error::damaged(&path, "its last record is incomplete")),
                Parsed::Damaged(reason) => {
                    let reason = format!("at byte {offset}, {reason}");
                    return Err(Error::damaged(&path, reason));
                }
            }
        };
        Ok(ScannedSegment {
            segment,
            records,
            torn_bytes,
        })
    }

    /// `last_position` returns the position of the last record; for an empty segment, the position
    /// before its first.
    pub(crate) fn last_position(&self) -> Position {
        Position(self.segment_ref.first.0 - 1 + self.record_ends.len() as u64)
    }

    /// `size_bytes` returns the size of the file with all records, written or pending.
    pub(crate) fn size_bytes(&self) -> u64 {
        self.record_ends
            .last()
            .copied()
            .unwrap_or(HEADER_BYTES as u64)
    }

    /// `push` adds the offset of a record with a body of `body` bytes and returns its position.
    pub(crate) fn push(&mut self, body: usize) -> Position {
        let end = self.size_bytes() + (record::HEADER_BYTES + body) as u64;
        self.record_ends.push(end);
        self.last_position()
    }

    /// `truncate_after` removes the offsets of the records after `position`.
    pub(crate) fn truncate_after(&mut self, position: Position) {
        let keep = (position.0 + 1).saturating_sub(self.segment_ref.first.0);
        self.record_ends
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }
}

/// `scan_all` reads and checks all segments that the manifest lists, and adds the records after the
/// snapshot to `restored`.
pub(crate) fn scan_all<F: FileOps>(
    f: &F,
    dir: &Path,
    log: &str,
    m: &Manifest,
    restored: &mut RestoredLog,
) -> Result<Vec<Segment>> {
    let snapshot_position = m.snapshot.unwrap_or_default();
    let mut segments: Vec<Segment> = Vec::new();
    for (i, segment_ref) in m.segments.iter().enumerate() {
        let newest = i + 1 == m.segments.len();
        let scan = Segment::scan(f, dir, log, *segment_ref, newest)?;
        let contiguous = match segments.last() {
            Some(before) => segment_ref.first == before.last_position().next(),
            None => segment_ref.first <= snapshot_position.next(),
        };
        if !contiguous {
            let path = dir.join(manifest::segment_file_name(log, segment_ref.seq));
            let reason = format!("records before position {} are missing", segment_ref.first);
            return Err(Error::damaged(&path, reason));
        }
        let after = scan
            .records
            .into_iter()
            .filter(|r| r.position > snapshot_position);
        restored.records.extend(after);
        restored.torn_bytes += scan.torn_bytes;
        segments.push(scan.segment);
    }
    Ok(segments)
}

fn check_header(buf: &[u8], segment_ref: SegmentRef, path: &Path) -> Result<()> {
    let valid = buf.len() >= HEADER_BYTES
        && buf.starts_with(MAGIC)
        && crc32fast::hash(&buf[..16]) == record::u32_at(buf, 16)
        && record::u64_at(buf, 8) == segment_ref.first.0;
    if valid {
        return Ok(());
    }
    Err(Error::damaged(path, "its header does not match"))
}
