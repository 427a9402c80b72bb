//! The data folder of a keeper: its lock, its identity file and its cells.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shallothill_core::ids::KeeperId;
use snafu::ResultExt;

use crate::cell;
use crate::disk_files::DiskFiles;
use crate::errors;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::options::FolderOptions;

/// `FORMAT_VERSION` is the format version of all files in the folder.
pub(crate) const FORMAT_VERSION: u32 = 1;
pub(crate) const IDENTITY_FILE: &str = "identity";
pub(crate) const LOCK_FILE: &str = "lock";
pub(crate) const CELL_SUFFIX: &str = ".cell";

/// `Identity` is the content of the identity file. Every format version starts with these fields,
/// so that a release can read the version of a newer format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Identity {
    pub(crate) format: u32,
    pub(crate) keeper: KeeperId,
}

/// `DataFolder` is the data folder of one keeper, locked against other processes.
///
/// Its logs share the lock: the folder stays locked until the folder and all of its logs are
/// dropped.
#[derive(Debug)]
pub struct DataFolder<F: FileOps = DiskFiles> {
    pub(crate) files: F,
    pub(crate) path: PathBuf,
    pub(crate) options: FolderOptions,
    pub(crate) lock: Arc<F::Lock>,
    new: bool,
}

impl DataFolder<DiskFiles> {
    /// `try_open` locks and checks the folder at `path`, or creates it.
    ///
    /// Fails with `Locked`, `OtherKeeper`, `OtherFormat`, `Damaged` or a disk error.
    pub fn try_open(path: &Path, options: FolderOptions) -> Result<Self> {
        Self::try_open_with(DiskFiles, path, options)
    }
}

impl<F: FileOps> DataFolder<F> {
    /// `try_open_with` is [`DataFolder::try_open`] with the given file operations.
    pub fn try_open_with(files: F, path: &Path, options: FolderOptions) -> Result<Self> {
        files
            .create_dir(path)
            .map_err(|e| Error::file("create", path, e))?;
        let lock_path = path.join(LOCK_FILE);
        let lock = files
            .try_lock(&lock_path)
            .map_err(|e| Error::file("lock", &lock_path, e))?;
        let Some(lock) = lock else {
            return errors::LockedSnafu { path }.fail();
        };
        let identity = cell::read::<F, Identity>(&files, path, IDENTITY_FILE)?;
        let new = identity.is_none();
        match identity {
            Some(identity) => check_identity(&identity, path, options.keeper)?,
            None => create_identity(&files, path, options.keeper)?,
        }
        Ok(Self {
            files,
            path: path.to_path_buf(),
            options,
            lock: Arc::new(lock),
            new,
        })
    }

    /// `share` returns another handle to the folder, which stays locked until all handles are
    /// dropped.
    pub fn share(&self) -> Self
    where
        F: Clone,
    {
        Self {
            files: self.files.clone(),
            path: self.path.clone(),
            options: self.options.clone(),
            lock: Arc::clone(&self.lock),
            new: self.new,
        }
    }

    /// `is_new` tells whether `try_open` created the identity file. The logs of a new folder are
    /// marked lost, also after a restart, until [`crate::Log::mark_repaired`] is called.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// `path` returns the path that the folder was opened at.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// `write_cell` replaces the value of the cell `name` durably and atomically. A cell is a file
    /// for one small value.
    pub fn write_cell<T: Serialize>(&self, name: &str, value: &T) -> Result<()> {
        let file = format!("{name}{CELL_SUFFIX}");
        cell::write(&self.files, &self.path, &file, value)
    }

    /// `read_cell` returns the value of the cell `name`, `None` when it was never written.
    ///
    /// Fails with `Damaged` when the file fails its checksum or cannot be decoded.
    pub fn read_cell<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>> {
        let file = format!("{name}{CELL_SUFFIX}");
        cell::read(&self.files, &self.path, &file)
    }

    /// `remove_cell` deletes the cell `name` durably; a missing cell is not an error.
    pub fn remove_cell(&self, name: &str) -> Result<()> {
        let path = self.path.join(format!("{name}{CELL_SUFFIX}"));
        match self.files.remove(&path) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                return Err(Error::file("remove", &path, e));
            }
            _ => {}
        }
        self.files
            .sync_dir(&self.path)
            .context(errors::SyncFailedSnafu { path: &self.path })
    }
}

fn check_identity(identity: &Identity, path: &Path, keeper: KeeperId) -> Result<()> {
    if identity.format != FORMAT_VERSION {
        return errors::OtherFormatSnafu {
            path,
            found: identity.format,
            expected: FORMAT_VERSION,
        }
        .fail();
    }
    if identity.keeper != keeper {
        return errors::OtherKeeperSnafu {
            path,
            found: identity.keeper,
            expected: keeper,
        }
        .fail();
    }
    Ok(())
}

// The identity is the first file written to a folder, so if there are others without it, the
// identity file was lost.
fn create_identity<F: FileOps>(files: &F, path: &Path, keeper: KeeperId) -> Result<()> {
    let names = files.list(path).map_err(|e| Error::file("list", path, e))?;
    let other = names
        .iter()
        .find(|n| *n != LOCK_FILE && !n.ends_with(".tmp"));
    if let Some(other) = other {
        let reason = format!("it is missing, but `{other}` exists");
        return Err(Error::damaged(&path.join(IDENTITY_FILE), reason));
    }
    // The directory entry of a new folder must be durable too.
    if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
        files
            .sync_dir(parent)
            .context(errors::SyncFailedSnafu { path: parent })?;
    }
    let identity = Identity {
        format: FORMAT_VERSION,
        keeper,
    };
    cell::write(files, path, IDENTITY_FILE, &identity)
}
