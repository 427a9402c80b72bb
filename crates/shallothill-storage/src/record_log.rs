//! A log of records with snapshots.

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

/// `Log` is a sequence of records in files, cut at the front by snapshots.
///
/// After a failed write or sync it is not known what the disk holds, so the log then refuses
/// everything with `LogFailed`; the process has to end and open it again.
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
    pending: Vec<u8>,
    synced: Position,
    failed: bool,
    _lock: Arc<F::Lock>,
}

impl<F: FileOps> Log<F> {
    /// `try_open` opens the log `name` and returns what it holds; a missing log is created empty
    /// and marked lost.
    ///
    /// Fails with `Damaged` when a file that was synced is missing or has changed; the owner then
    /// calls [`Self::try_reset`] and recovers from others.
    pub fn try_open(folder: &DataFolder<F>, name: &str) -> Result<(Self, RestoredLog)> {
        let (f, dir) = (&folder.files, &folder.path);
        let Some(m) = Manifest::read(f, dir, name)? else {
            for file in manifest::data_files(f, dir, name)? {
                let path = dir.join(&file);
                let buf = f.read(&path).map_err(|e| Error::file("read", &path, e))?;
                // A crash during the creation leaves a file without records at most.
                if buf.is_some_and(|b| b.len() > record::HEAD) {
                    let what = format!("it is missing, but `{file}` exists");
                    return Err(Error::damaged(&dir.join(Manifest::file(name)), what));
                }
            }
            return Ok((Self::try_reset(folder, name)?, RestoredLog::default()));
        };
        manifest::remove_others(f, dir, name, &m)?;
        let mut restored = RestoredLog::default();
        if let Some(position) = m.snapshot {
            let bytes = snapshot::read(f, dir, name, position)?;
            restored.snapshot = Some(RestoredSnapshot { position, bytes });
        }
        let segments = segment::scan_all(f, dir, name, &m, &mut restored)?;
        let Some(newest) = segments.last() else {
            let path = dir.join(Manifest::file(name));
            return Err(Error::damaged(&path, "it names no file of records"));
        };
        let path = dir.join(manifest::segment_file(name, newest.at.seq));
        let mut file = f.open(&path).map_err(|e| Error::file("open", &path, e))?;
        if restored.torn_bytes > 0 {
            f.truncate(&mut file, newest.size())
                .map_err(|e| Error::file("truncate", &path, e))?;
            tracing::warn!(
                "storage: cut {} bytes of a torn record off {}",
                restored.torn_bytes,
                path.display()
            );
        }
        // Records that a crashed process wrote without a sync count from now on.
        f.sync(&file)
            .context(errors::SyncFailedSnafu { path: &path })?;
        let log = Self::assemble(folder, name, m, segments, file);
        Ok((log, restored))
    }

    /// `try_reset` replaces the log `name`, whatever its state, by an empty one that is marked lost.
    pub fn try_reset(folder: &DataFolder<F>, name: &str) -> Result<Self> {
        let (f, dir) = (&folder.files, &folder.path);
        let used = manifest::data_files(f, dir, name)?
            .iter()
            .filter_map(|n| n.strip_suffix(".log")?.rsplit('-').next()?.parse().ok())
            .max();
        let seq: u64 = used.map_or(1, |n: u64| n + 1);
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
        manifest::remove_others(f, dir, name, &m)?;
        Ok(Self::assemble(folder, name, m, vec![segment], file))
    }

    fn assemble(
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
            pending: Vec::new(),
            synced: Position(0),
            failed: false,
            _lock: folder.lock.clone(),
        };
        log.synced = log.last_position();
        log
    }

    /// `is_lost` tells whether the log is marked lost.
    pub fn is_lost(&self) -> bool {
        self.manifest.lost
    }

    /// `mark_repaired` removes the mark durably, after all content is synced.
    pub fn mark_repaired(&mut self) -> Result<()> {
        self.sync()?;
        let mut m = self.manifest.clone();
        m.lost = false;
        self.replace_manifest(m)
    }

    /// `last_position` returns the last position, synced or not.
    pub fn last_position(&self) -> Position {
        let covered = self.manifest.snapshot.unwrap_or_default();
        let last = self.segments.last().map(Segment::last);
        last.unwrap_or_default().max(covered)
    }

    /// `synced_position` returns the last durable position.
    pub fn synced_position(&self) -> Position {
        self.synced
    }

    /// `size_bytes` returns the size of all files of records in bytes, synced or not.
    pub fn size_bytes(&self) -> u64 {
        self.segments.iter().map(Segment::size).sum()
    }

    /// `append` adds a record and returns its position; it is durable after [`Self::sync`].
    pub fn append(&mut self, bytes: &[u8]) -> Result<Position> {
        self.check()?;
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
        record::encode(position, bytes, &mut self.pending);
        Ok(position)
    }

    /// `sync` makes all records durable with one write and one sync of the file, and returns the
    /// last durable position.
    pub fn sync(&mut self) -> Result<Position> {
        self.check()?;
        if self.synced == self.last_position() {
            return Ok(self.synced);
        }
        self.guard(|log| {
            let path = log.newest_path();
            log.files
                .write(&mut log.file, &log.pending)
                .map_err(|e| Error::file("write", &path, e))?;
            log.files
                .sync(&log.file)
                .context(errors::SyncFailedSnafu { path })?;
            log.pending.clear();
            log.synced = log.last_position();
            let size = log.segments.last().map_or(0, Segment::size);
            if size >= log.segment_bytes {
                let (m, segment, file) =
                    log.roll(log.manifest.clone(), log.last_position().next())?;
                log.replace_manifest(m)?;
                log.segments.push(segment);
                log.file = file;
            }
            Ok(log.synced)
        })
    }

    /// `truncate_after` drops all records after `position`, durably.
    ///
    /// Fails with `OutOfRange` for a position before the last snapshot.
    pub fn truncate_after(&mut self, position: Position) -> Result<()> {
        self.check()?;
        if position >= self.last_position() {
            return Ok(());
        }
        let covered = self.manifest.snapshot.unwrap_or_default();
        let start = self.segments.first().map_or(Position(1), |s| s.at.first);
        if position < covered || position.next() < start {
            return errors::OutOfRangeSnafu {
                name: &self.name,
                position: position.0,
                first: covered.0,
                last: self.last_position().0,
            }
            .fail();
        }
        self.sync()?;
        self.guard(|log| log.cut(position))
    }

    fn cut(&mut self, position: Position) -> Result<()> {
        let keep = self
            .segments
            .iter()
            .filter(|s| s.at.first <= position.next())
            .count();
        if keep < self.segments.len() {
            let mut m = self.manifest.clone();
            m.segments.truncate(keep);
            self.replace_manifest(m)?;
            self.segments.truncate(keep);
            let path = self.newest_path();
            self.file = self
                .files
                .open(&path)
                .map_err(|e| Error::file("open", &path, e))?;
            manifest::remove_others(&self.files, &self.dir, &self.name, &self.manifest)?;
        }
        let path = self.newest_path();
        if let Some(segment) = self.segments.last_mut() {
            segment.truncate_after(position);
            self.files
                .truncate(&mut self.file, segment.size())
                .map_err(|e| Error::file("truncate", &path, e))?;
        }
        self.files
            .sync(&self.file)
            .context(errors::SyncFailedSnafu { path })?;
        self.synced = self.last_position();
        Ok(())
    }

    /// `snapshot` stores `bytes` durably in place of all records up to `position`, then drops the
    /// files that only hold such records.
    ///
    /// A position after the last record drops all records; the next one gets the position after
    /// the snapshot. A position at or before the last snapshot changes nothing.
    pub fn snapshot(&mut self, position: Position, bytes: &[u8]) -> Result<()> {
        self.check()?;
        if self.manifest.snapshot.is_some_and(|p| p >= position) {
            return Ok(());
        }
        if position < self.last_position() {
            self.sync()?;
        }
        self.guard(|log| {
            let (f, dir) = (log.files.clone(), log.dir.clone());
            snapshot::write(&f, &dir, &log.name, position, bytes)?;
            let next = log.last_position().max(position).next();
            let (mut m, segment, file) = log.roll(log.manifest.clone(), next)?;
            m.snapshot = Some(position);
            let old = log.segments.iter().filter(|s| s.last() > position);
            let kept: Vec<Segment> = old.cloned().chain([segment]).collect();
            m.segments = kept.iter().map(|s| s.at).collect();
            log.replace_manifest(m)?;
            log.segments = kept;
            log.file = file;
            log.pending.clear();
            log.synced = log.last_position();
            manifest::remove_others(&f, &dir, &log.name, &log.manifest)
        })
    }

    fn roll(&self, mut m: Manifest, first: Position) -> Result<(Manifest, Segment, F::File)> {
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
        self.guard(|log| {
            m.write(&log.files, &log.dir, &log.name)
                .map(|()| log.manifest = m)
        })
    }

    fn newest_path(&self) -> PathBuf {
        let seq = self.segments.last().map_or(0, |s| s.at.seq);
        self.dir.join(manifest::segment_file(&self.name, seq))
    }

    fn check(&self) -> Result<()> {
        if self.failed {
            return errors::LogFailedSnafu { name: &self.name }.fail();
        }
        Ok(())
    }

    // Whatever fails part of the way leaves the files in a state that only a new open can tell.
    fn guard<T>(&mut self, run: impl FnOnce(&mut Self) -> Result<T>) -> Result<T> {
        let result = run(self);
        self.failed |= result.is_err();
        result
    }
}
