//! An in-memory file system that loses unsynced data at a simulated crash and fails on request.
#![allow(dead_code)] // Each test file uses only some of the functions.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use shallothill_core::ids::KeeperId;
use shallothill_storage::{DataFolder, FileOps, FolderOptions};

#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    /// The bytes that a crash leaves, as of the last sync; empty for a file that was never synced.
    synced: Vec<u8>,
}

#[derive(Default)]
struct State {
    /// The files by id; names map to ids, so that a renamed file keeps its content.
    contents: BTreeMap<u64, Content>,
    names: BTreeMap<PathBuf, u64>,
    durable_names: BTreeMap<PathBuf, u64>,
    next_file_id: u64,
    lock_count: u32,
    /// The operation count after which all operations fail, as after a crash.
    crash_after: Option<u64>,
    operations: u64,
    capacity_bytes: Option<usize>,
    fail_syncs: bool,
    syncs: u64,
}

/// `FaultyFiles` shares one simulated disk among its clones.
#[derive(Clone, Default)]
pub struct FaultyFiles(Rc<RefCell<State>>);

pub struct Lock(FaultyFiles);

impl Drop for Lock {
    fn drop(&mut self) {
        self.0.0.borrow_mut().lock_count -= 1;
    }
}

pub const DIR: &str = "data/k1";

impl FaultyFiles {
    pub fn folder(&self) -> shallothill_storage::Result<DataFolder<Self>> {
        let options = FolderOptions {
            keeper: KeeperId(1),
            segment_bytes: 200,
            ..FolderOptions::default()
        };
        DataFolder::try_open_with(self.clone(), Path::new(DIR), options)
    }

    pub fn crash_after(&self, operations: u64) {
        let mut s = self.0.borrow_mut();
        s.crash_after = Some(s.operations + operations);
    }

    pub fn fail_sync(&self, fail: bool) {
        self.0.borrow_mut().fail_syncs = fail;
    }

    pub fn limit_capacity(&self, capacity_bytes: Option<usize>) {
        self.0.borrow_mut().capacity_bytes = capacity_bytes;
    }

    pub fn sync_count(&self) -> u64 {
        self.0.borrow().syncs
    }

    pub fn operation_count(&self) -> u64 {
        self.0.borrow().operations
    }

    /// Simulates a restart after a crash: drops unsynced data, except for the first `keep` bytes
    /// appended to each file since its last sync. An odd `keep` also keeps unsynced names.
    pub fn restart(&self, keep: usize) {
        let mut s = self.0.borrow_mut();
        if keep % 2 == 1 {
            s.durable_names = s.names.clone();
        }
        s.crash_after = None;
        s.fail_syncs = false;
        s.names = s.durable_names.clone();
        for c in s.contents.values_mut() {
            let prefix = c.bytes.starts_with(&c.synced);
            let kept = c.bytes.len().min(c.synced.len() + keep);
            c.bytes = if prefix {
                c.bytes[..kept].to_vec()
            } else {
                c.synced.clone()
            };
            c.synced = c.bytes.clone();
        }
    }

    pub fn file_names(&self) -> Vec<String> {
        self.list(Path::new(DIR)).unwrap_or_default()
    }

    /// Changes the durable content of a file directly, without a file operation.
    pub fn modify(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut s = self.0.borrow_mut();
        let id = s.names[&Path::new(DIR).join(name)];
        let content = s.contents.entry(id).or_default();
        change(&mut content.bytes);
        content.synced = content.bytes.clone();
    }

    pub fn delete(&self, name: &str) {
        let mut s = self.0.borrow_mut();
        let path = Path::new(DIR).join(name);
        s.names.remove(&path);
        s.durable_names.remove(&path);
    }

    fn start_operation(&self) -> io::Result<std::cell::RefMut<'_, State>> {
        let mut s = self.0.borrow_mut();
        s.operations += 1;
        if s.crash_after.is_some_and(|n| s.operations > n) {
            return Err(io::Error::other("the process crashed"));
        }
        Ok(s)
    }
}

impl FileOps for FaultyFiles {
    type File = u64;
    type Lock = Lock;

    fn create_dir(&self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        let s = self.0.borrow();
        let names = s.names.keys().filter_map(|p| p.strip_prefix(path).ok());
        Ok(names.map(|p| p.to_string_lossy().into_owned()).collect())
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let s = self.0.borrow();
        let id = s.names.get(path);
        Ok(id.map(|id| s.contents[id].bytes.clone()))
    }

    fn create(&self, path: &Path) -> io::Result<u64> {
        let mut s = self.start_operation()?;
        s.next_file_id += 1;
        let id = s.next_file_id;
        s.names.insert(path.to_path_buf(), id);
        s.contents.insert(id, Content::default());
        Ok(id)
    }

    fn open(&self, path: &Path) -> io::Result<u64> {
        let s = self.0.borrow();
        s.names
            .get(path)
            .copied()
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn write(&self, file: &mut u64, buf: &[u8]) -> io::Result<()> {
        let result = self.start_operation().map(|_| ());
        let mut s = self.0.borrow_mut();
        let used: usize = s.contents.values().map(|c| c.bytes.len()).sum();
        let free_bytes = s
            .capacity_bytes
            .map_or(buf.len(), |c| c.saturating_sub(used));
        // A crash in the middle of a write leaves a prefix of it.
        let part = if result.is_err() {
            buf.len() / 2
        } else {
            free_bytes
        };
        let len = part.min(buf.len());
        let content = s.contents.entry(*file).or_default();
        content.bytes.extend_from_slice(&buf[..len]);
        result?;
        if len < buf.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&self, file: &mut u64, len: u64) -> io::Result<()> {
        let mut s = self.start_operation()?;
        let content = s.contents.entry(*file).or_default();
        content.bytes.truncate(len as usize);
        Ok(())
    }

    fn sync(&self, file: &u64) -> io::Result<()> {
        let mut s = self.start_operation()?;
        s.syncs += 1;
        if s.fail_syncs {
            return Err(io::Error::other("input/output error"));
        }
        let content = s.contents.entry(*file).or_default();
        content.synced = content.bytes.clone();
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut s = self.start_operation()?;
        let id = s.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        s.names.insert(to.to_path_buf(), id);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut s = self.start_operation()?;
        let removed = s.names.remove(path).map(|_| ());
        removed.ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_dir(&self, _: &Path) -> io::Result<()> {
        let mut s = self.start_operation()?;
        s.durable_names = s.names.clone();
        Ok(())
    }

    fn try_lock(&self, _: &Path) -> io::Result<Option<Lock>> {
        let mut s = self.0.borrow_mut();
        if s.lock_count > 0 {
            return Ok(None);
        }
        s.lock_count += 1;
        Ok(Some(Lock(self.clone())))
    }
}
