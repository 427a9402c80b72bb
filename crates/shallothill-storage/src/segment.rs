//! One file of records.

use std::path::Path;

use snafu::ResultExt;

use crate::errors;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::manifest;
use crate::manifest::{Manifest, SegmentRef};
use crate::position::Position;
use crate::record;
use crate::record::Next;
use crate::restored::{RestoredLog, RestoredRecord};

const MAGIC: &[u8; 8] = b"SHLOG001";
const HEAD: usize = 20;

/// `Segment` knows the places of the records in one file.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) at: SegmentRef,
    /// The end of each record.
    ends: Vec<u64>,
}

/// `Scan` is what a file of records holds.
pub(crate) struct Scan {
    pub(crate) segment: Segment,
    pub(crate) records: Vec<RestoredRecord>,
    pub(crate) torn_bytes: u64,
}

impl Segment {
    /// `create` writes an empty file durably.
    pub(crate) fn create<F: FileOps>(
        f: &F,
        dir: &Path,
        log: &str,
        at: SegmentRef,
    ) -> Result<(Self, F::File)> {
        let path = dir.join(manifest::segment_file(log, at.seq));
        let mut file = f
            .create(&path)
            .map_err(|e| Error::file("create", &path, e))?;
        let mut head = MAGIC.to_vec();
        head.extend_from_slice(&at.first.0.to_le_bytes());
        head.extend_from_slice(&crc32fast::hash(&head).to_le_bytes());
        f.write(&mut file, &head)
            .map_err(|e| Error::file("write", &path, e))?;
        f.sync(&file)
            .context(errors::SyncFailedSnafu { path: &path })?;
        f.sync_dir(dir)
            .context(errors::SyncFailedSnafu { path: dir })?;
        let ends = Vec::new();
        Ok((Self { at, ends }, file))
    }

    /// `scan` reads and checks a file; only the newest file of a log may end in a torn record.
    pub(crate) fn scan<F: FileOps>(
        f: &F,
        dir: &Path,
        log: &str,
        at: SegmentRef,
        newest: bool,
    ) -> Result<Scan> {
        let path = dir.join(manifest::segment_file(log, at.seq));
        let buf = f
            .read(&path)
            .map_err(|e| Error::file("read", &path, e))?
            .ok_or_else(|| Error::damaged(&path, "it is missing"))?;
        check_head(&buf, at, &path)?;
        let mut segment = Self {
            at,
            ends: Vec::new(),
        };
        let (mut records, mut place) = (Vec::new(), HEAD);
        let torn_bytes = loop {
            match record::next(&buf, place) {
                Next::Record(position, body) if position == segment.last().next() => {
                    place += record::HEAD + body.len();
                    segment.ends.push(place as u64);
                    records.push(RestoredRecord {
                        position,
                        bytes: body.to_vec(),
                    });
                }
                Next::Record(position, _) => {
                    let what = format!("position {position} follows {}", segment.last());
                    return Err(Error::damaged(&path, what));
                }
                Next::End => break 0,
                Next::Torn if newest => break (buf.len() - place) as u64,
                Next::Torn => return Err(Error::damaged(&path, "its last record is cut short")),
                Next::Damaged(what) => {
                    let what = format!("at byte {place}, {what}");
                    return Err(Error::damaged(&path, what));
                }
            }
        };
        Ok(Scan {
            segment,
            records,
            torn_bytes,
        })
    }

    /// `last` returns the last position, the one before the first for an empty file.
    pub(crate) fn last(&self) -> Position {
        Position(self.at.first.0 - 1 + self.ends.len() as u64)
    }

    /// `size` returns the size of the file.
    pub(crate) fn size(&self) -> u64 {
        self.ends.last().copied().unwrap_or(HEAD as u64)
    }

    /// `push` notes a record of `body` bytes at the end and returns its position.
    pub(crate) fn push(&mut self, body: usize) -> Position {
        let end = self.size() + (record::HEAD + body) as u64;
        self.ends.push(end);
        self.last()
    }

    /// `truncate_after` forgets the records after `position`.
    pub(crate) fn truncate_after(&mut self, position: Position) {
        let keep = (position.0 + 1).saturating_sub(self.at.first.0);
        self.ends
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }
}

/// `scan_all` reads and checks all files of records that the manifest names, and adds the records
/// after the snapshot to `restored`.
pub(crate) fn scan_all<F: FileOps>(
    f: &F,
    dir: &Path,
    log: &str,
    m: &Manifest,
    restored: &mut RestoredLog,
) -> Result<Vec<Segment>> {
    let covered = m.snapshot.unwrap_or_default();
    let mut segments: Vec<Segment> = Vec::new();
    for (i, at) in m.segments.iter().enumerate() {
        let newest = i + 1 == m.segments.len();
        let scan = Segment::scan(f, dir, log, *at, newest)?;
        let joins = match segments.last() {
            Some(before) => at.first == before.last().next(),
            None => at.first <= covered.next(),
        };
        if !joins {
            let path = dir.join(manifest::segment_file(log, at.seq));
            let what = format!("records before position {} are missing", at.first);
            return Err(Error::damaged(&path, what));
        }
        let after = scan.records.into_iter().filter(|r| r.position > covered);
        restored.records.extend(after);
        restored.torn_bytes += scan.torn_bytes;
        segments.push(scan.segment);
    }
    Ok(segments)
}

fn check_head(buf: &[u8], at: SegmentRef, path: &Path) -> Result<()> {
    let sound = buf.len() >= HEAD
        && buf.starts_with(MAGIC)
        && crc32fast::hash(&buf[..16]) == record::u32_at(buf, 16)
        && record::u64_at(buf, 8) == at.first.0;
    if sound {
        return Ok(());
    }
    Err(Error::damaged(path, "its head does not match"))
}
