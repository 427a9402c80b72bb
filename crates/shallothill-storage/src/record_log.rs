//! The log: records in segment files, and snapshots that replace the oldest records.

use std::path::PathBuf;
use std::sync::Arc;

use snafu::ResultExt;

use crate::disk_files::DiskFiles;
use crate::errors;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::folder::DataFolder;
use crate::manifest;
use crate::manifest::{Manifest, SegmentRef};
use crate::position::Position;
use crate::record;
use crate::restored::{RestoredLog, RestoredSnapshot};
use crate::segment;
use crate::segment::Segment;
use crate::snapshot;

/// `Log` appends records to segment files; a snapshot replaces all records up to its position.
///
/// After a failed write or sync the content of the disk is unknown. Every later operation then
/// fails with `LogFailed`; the process has to end and open the log again.
#[derive(Debug)]
pub struct Log<F: FileOps = DiskFiles> {
    files: F,
    dir: PathBuf,
    name: String,
    segment_bytes: u64,
    max_record_bytes: usize,
    manifest: Manifest,
    segments: Vec<Segment>,
    file: F::File,
    /// Encoded records that are not written yet.
    pending_bytes: Vec<u8>,
    synced: Position,
    /// Whether an operation failed after it may have changed a file.
    failed: bool,
    _lock: Arc<F::Lock>,
}

impl<F: FileOps> Log<F> {
    /// `try_open` opens the log `name` and returns its content; a missing log is created empty and
    /// marked lost.
    ///
    /// Fails with `Damaged` when a synced file is missing or has changed; the owner then calls
    /// [`Self::try_reset`] and recovers the content from other replicas.
    pub fn try_open(folder: &DataFolder<F>, name: &str) -> Result<(Self, RestoredLog)> {
        let (f, dir) = (&folder.files, &folder.path);
        let Some(m) = Manifest::read(f, dir, name)? else {
            for file in manifest::data_files(f, dir, name)? {
                let path = dir.join(&file);
                let buf = f.read(&path).map_err(|e| Error::file("read", &path, e))?;
                // A crash while the log is created leaves at most a segment without records.
                if buf.is_some_and(|b| b.len() > record::HEADER_BYTES) {
                    let reason = format!("it is missing, but `{file}` exists");
                    return Err(Error::damaged(&dir.join(Manifest::file_name(name)), reason));
                }
            }
            return Ok((Self::try_reset(folder, name)?, RestoredLog::default()));
        };
        manifest::remove_unlisted_files(f, dir, name, &m)?;
        let mut restored = RestoredLog::default();
        if let Some(position) = m.snapshot {
            let bytes = snapshot::read(f, dir, name, position)?;
            restored.snapshot = Some(RestoredSnapshot { position, bytes });
        }
        let segments = segment::scan_all(f, dir, name, &m, &mut restored)?;
        let Some(newest) = segments.last() else {
            let path = dir.join(Manifest::file_name(name));
            return Err(Error::damaged(&path, "it lists no segment"));
        };
        let path = dir.join(manifest::segment_file_name(name, newest.segment_ref.seq));
        let mut file = f.open(&path).map_err(|e| Error::file("open", &path, e))?;
        if restored.torn_bytes > 0 {
            f.truncate(&mut file, newest.size_bytes())
                .map_err(|e| Error::file("truncate", &path, e))?;
            tracing::warn!(
                "storage: removed {} bytes of a torn record from {}",
                restored.torn_bytes,
                path.display()
            );
        }
        // A crashed process may have written records without syncing them. They are returned as
        // stored, so they must be durable first.
        f.sync(&file)
            .context(errors::SyncFailedSnafu { path: &path })?;
        let log = Self::from_parts(folder, name, m, segments, file);
        Ok((log, restored))
    }

    /// `try_reset` replaces the log `name`, also a damaged one, by an empty log that is marked
    /// lost.
    pub fn try_reset(folder: &DataFolder<F>, name: &str) -> Result<Self> {
        let (f, dir) = (&folder.files, &folder.path);
        let highest_seq = manifest::data_files(f, dir, name)?
            .iter()
            .filter_map(|n| n.strip_suffix(".log")?.rsplit('-').next()?.parse().ok())
            .max();
        let seq: u64 = highest_seq.map_or(1, |n: u64| n + 1);
        let at = SegmentRef {
            seq,
            first: Position(1),
        };
        let (segment, file) = Segment::create(f, dir, name, at)?;
        let m = Manifest {
            snapshot: None,
            segments: vec![at],
            next_seq: seq + 1,
            lost: true,
        };
        m.write(f, dir, name)?;
        manifest::remove_unlisted_files(f, dir, name, &m)?;
        Ok(Self::from_parts(folder, name, m, vec![segment], file))
    }

    fn from_parts(
        folder: &DataFolder<F>,
        name: &str,
        manifest: Manifest,
        segments: Vec<Segment>,
        file: F::File,
    ) -> Self {
        let mut log = Self {
            files: folder.files.clone(),
            dir: folder.path.clone(),
            name: name.to_owned(),
            segment_bytes: folder.options.segment_bytes,
            max_record_bytes: folder.options.max_record_bytes,
            manifest,
            segments,
            file,
            pending_bytes: Vec::new(),
            synced: Position(0),
            failed: false,
            _lock: folder.lock.clone(),
        };
        log.synced = log.last_position();
        log
    }

    /// `is_lost` tells whether the log was created or reset and its content is not recovered yet.
    /// Such a log must not be taken for one that is complete.
    pub fn is_lost(&self) -> bool {
        self.manifest.lost
    }

    /// `mark_repaired` syncs the log, then durably removes the mark that it is lost.
    pub fn mark_repaired(&mut self) -> Result<()> {
        self.sync()?;
        let mut m = self.manifest.clone();
        m.lost = false;
        self.replace_manifest(m)
    }

    /// `last_position` returns the position of the last record or of the snapshot, whichever is
    /// higher, synced or not.
    pub fn last_position(&self) -> Position {
        let snapshot_position = self.manifest.snapshot.unwrap_or_default();
        let last = self.segments.last().map(Segment::last_position);
        last.unwrap_or_default().max(snapshot_position)
    }

    /// `synced_position` returns the position up to which the log is durable.
    pub fn synced_position(&self) -> Position {
        self.synced
    }

    /// `size_bytes` returns the size of all segments, including records that are not written yet.
    pub fn size_bytes(&self) -> u64 {
        self.segments.iter().map(Segment::size_bytes).sum()
    }

    /// `append` adds a record and returns its position; the record is durable after
    /// [`Self::sync`].
    ///
    /// Fails with `TooLarge` for a record above the limit of the folder.
    pub fn append(&mut self, bytes: &[u8]) -> Result<Position> {
        self.check_not_failed()?;
        if bytes.len() > self.max_record_bytes {
            return errors::TooLargeSnafu {
                size: bytes.len(),
                limit: self.max_record_bytes,
            }
            .fail();
        }
        let position = self.last_position().next();
        if let Some(segment) = self.segments.last_mut() {
            segment.push(bytes.len());
        }
        record::encode(position, bytes, &mut self.pending_bytes);
        Ok(position)
    }

    /// `sync` makes all records durable with one write and one sync of the file, and returns the
    /// position of the last one. It starts another segment when the current one is full.
    pub fn sync(&mut self) -> Result<Position> {
        self.check_not_failed()?;
        if self.synced == self.last_position() {
            return Ok(self.synced);
        }
        self.fail_on_error(|log| {
            let path = log.newest_segment_path();
            log.files
                .write(&mut log.file, &log.pending_bytes)
                .map_err(|e| Error::file("write", &path, e))?;
            log.files
                .sync(&log.file)
                .context(errors::SyncFailedSnafu { path })?;
            log.pending_bytes.clear();
            log.synced = log.last_position();
            let size = log.segments.last().map_or(0, Segment::size_bytes);
            if size >= log.segment_bytes {
                let (m, segment, file) =
                    log.create_segment(log.manifest.clone(), log.last_position().next())?;
                log.replace_manifest(m)?;
                log.segments.push(segment);
                log.file = file;
            }
            Ok(log.synced)
        })
    }

    /// `truncate_after` durably removes all records after `position`.
    ///
    /// Fails with `OutOfRange` for a position before the last snapshot.
    pub fn truncate_after(&mut self, position: Position) -> Result<()> {
        self.check_not_failed()?;
        if position >= self.last_position() {
            return Ok(());
        }
        let snapshot_position = self.manifest.snapshot.unwrap_or_default();
        let start = self
            .segments
            .first()
            .map_or(Position(1), |s| s.segment_ref.first);
        if position < snapshot_position || position.next() < start {
            return errors::OutOfRangeSnafu {
                name: &self.name,
                position: position.0,
                first: snapshot_position.0,
                last: self.last_position().0,
            }
            .fail();
        }
        self.sync()?;
        self.fail_on_error(|log| log.truncate_files(position))
    }

    fn truncate_files(&mut self, position: Position) -> Result<()> {
        let keep = self
            .segments
            .iter()
            .filter(|s| s.segment_ref.first <= position.next())
            .count();
        if keep < self.segments.len() {
            let mut m = self.manifest.clone();
            m.segments.truncate(keep);
            self.replace_manifest(m)?;
            self.segments.truncate(keep);
            let path = self.newest_segment_path();
            self.file = self
                .files
                .open(&path)
                .map_err(|e| Error::file("open", &path, e))?;
            manifest::remove_unlisted_files(&self.files, &self.dir, &self.name, &self.manifest)?;
        }
        let path = self.newest_segment_path();
        if let Some(segment) = self.segments.last_mut() {
            segment.truncate_after(position);
            self.files
                .truncate(&mut self.file, segment.size_bytes())
                .map_err(|e| Error::file("truncate", &path, e))?;
        }
        self.files
            .sync(&self.file)
            .context(errors::SyncFailedSnafu { path })?;
        self.synced = self.last_position();
        Ok(())
    }

    /// `snapshot` stores `bytes` durably in place of all records up to `position`, then deletes the
    /// segments that hold only such records.
    ///
    /// A position after the last record removes all records, and the next record gets the position
    /// after the snapshot. A position at or before the last snapshot changes nothing.
    pub fn snapshot(&mut self, position: Position, bytes: &[u8]) -> Result<()> {
        self.check_not_failed()?;
        if self.manifest.snapshot.is_some_and(|p| p >= position) {
            return Ok(());
        }
        if position < self.last_position() {
            self.sync()?;
        }
        self.fail_on_error(|log| {
            let (f, dir) = (log.files.clone(), log.dir.clone());
            snapshot::write(&f, &dir, &log.name, position, bytes)?;
            let next = log.last_position().max(position).next();
            let (mut m, segment, file) = log.create_segment(log.manifest.clone(), next)?;
            m.snapshot = Some(position);
            let remaining = log.segments.iter().filter(|s| s.last_position() > position);
            let kept: Vec<Segment> = remaining.cloned().chain([segment]).collect();
            m.segments = kept.iter().map(|s| s.segment_ref).collect();
            log.replace_manifest(m)?;
            log.segments = kept;
            log.file = file;
            log.pending_bytes.clear();
            log.synced = log.last_position();
            manifest::remove_unlisted_files(&f, &dir, &log.name, &log.manifest)
        })
    }

    fn create_segment(
        &self,
        mut m: Manifest,
        first: Position,
    ) -> Result<(Manifest, Segment, F::File)> {
        let at = SegmentRef {
            seq: m.next_seq,
            first,
        };
        let (segment, file) = Segment::create(&self.files, &self.dir, &self.name, at)?;
        m.next_seq += 1;
        m.segments.push(at);
        Ok((m, segment, file))
    }

    fn replace_manifest(&mut self, m: Manifest) -> Result<()> {
        self.fail_on_error(|log| {
            m.write(&log.files, &log.dir, &log.name)
                .map(|()| log.manifest = m)
        })
    }

    fn newest_segment_path(&self) -> PathBuf {
        let seq = self.segments.last().map_or(0, |s| s.segment_ref.seq);
        self.dir.join(manifest::segment_file_name(&self.name, seq))
    }

    fn check_not_failed(&self) -> Result<()> {
        if self.failed {
            return errors::LogFailedSnafu { name: &self.name }.fail();
        }
        Ok(())
    }

    // Runs an operation that changes files. If it fails part of the way, only opening the log again
    // shows the state of the files, so the log rejects all later operations.
    fn fail_on_error<T>(&mut self, run: impl FnOnce(&mut Self) -> Result<T>) -> Result<T> {
        let result = run(self);
        self.failed |= result.is_err();
        result
    }
}
