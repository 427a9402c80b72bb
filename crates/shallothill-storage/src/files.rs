//! The file operations that the data folder uses.

use std::io;
use std::path::Path;

/// `FileOps` abstracts file operations, so that tests can inject faults.
///
/// Written bytes are durable only after `sync` of the file, and created, renamed or removed files
/// only after `sync_dir` of the folder.
pub trait FileOps: Clone {
    /// An open file, positioned at its end.
    type File;
    /// A held lock, released when dropped.
    type Lock;

    /// `create_dir` creates a folder and its parents where missing.
    fn create_dir(&self, path: &Path) -> io::Result<()>;

    /// `list` returns the names of the files in a folder, sorted; empty when it does not exist.
    fn list(&self, path: &Path) -> io::Result<Vec<String>>;

    /// `read` returns the content of a file, `None` when it does not exist.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;

    /// `create` creates a file, or empties an existing one, and opens it for writing.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// `open` opens an existing file for appending.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// `write` appends all bytes; on failure a part of them may be written.
    fn write(&self, file: &mut Self::File, buf: &[u8]) -> io::Result<()>;

    /// `truncate` cuts a file to `len` bytes, at which the next `write` continues.
    fn truncate(&self, file: &mut Self::File, len: u64) -> io::Result<()>;

    /// `sync` makes the content and the size of a file durable.
    fn sync(&self, file: &Self::File) -> io::Result<()>;

    /// `rename` renames a file and atomically replaces an existing file at `to`.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// `remove` deletes a file; a missing file is an error of kind `NotFound`.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// `sync_dir` makes the entries of a folder durable.
    fn sync_dir(&self, path: &Path) -> io::Result<()>;

    /// `try_lock` takes an exclusive lock on a file, `None` when another process holds it.
    fn try_lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;
}
