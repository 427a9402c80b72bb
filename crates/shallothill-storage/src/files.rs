//! The file operations that the data folder is built on.

use std::io;
use std::path::Path;

/// `FileOps` performs file operations; tests replace it to inject faults.
///
/// Written bytes and changed names are durable only after `sync` of the file and `sync_dir` of the
/// folder.
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

    /// `create` opens a file as empty.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// `open` opens an existing file at its end.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// `write` appends all bytes; on failure any part of them may be written.
    fn write(&self, file: &mut Self::File, buf: &[u8]) -> io::Result<()>;

    /// `truncate` cuts a file to `len` bytes and goes on writing there.
    fn truncate(&self, file: &mut Self::File, len: u64) -> io::Result<()>;

    /// `sync` makes the content and the size of a file durable.
    fn sync(&self, file: &Self::File) -> io::Result<()>;

    /// `rename` gives a file another name, in place of a file of that name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// `remove` deletes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// `sync_dir` makes the names in a folder durable.
    fn sync_dir(&self, path: &Path) -> io::Result<()>;

    /// `try_lock` takes an exclusive lock on a file, `None` when another process holds it.
    fn try_lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;
}
