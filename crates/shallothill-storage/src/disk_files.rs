//! File operations on the file system of the operating system.

use std::fs;
use std::io;
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;

use fs4::{FileExt, TryLockError};

use crate::files::FileOps;

/// `DiskFiles` implements [`FileOps`] on the file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskFiles;

impl FileOps for DiskFiles {
    type File = fs::File;
    type Lock = fs::File;

    fn create_dir(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        let entries = match fs::read_dir(path) {
            Ok(entries) => entries,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(e) => return Err(e),
        };
        let mut names = Vec::new();
        for entry in entries {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn create(&self, path: &Path) -> io::Result<fs::File> {
        fs::File::create(path)
    }

    fn open(&self, path: &Path) -> io::Result<fs::File> {
        let mut f = fs::OpenOptions::new().write(true).open(path)?;
        f.seek(SeekFrom::End(0))?;
        Ok(f)
    }

    fn write(&self, file: &mut fs::File, buf: &[u8]) -> io::Result<()> {
        file.write_all(buf)
    }

    fn truncate(&self, file: &mut fs::File, len: u64) -> io::Result<()> {
        file.set_len(len)?;
        file.seek(SeekFrom::Start(len))?;
        Ok(())
    }

    fn sync(&self, file: &fs::File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_dir(&self, path: &Path) -> io::Result<()> {
        fs::File::open(path)?.sync_all()
    }

    fn try_lock(&self, path: &Path) -> io::Result<Option<fs::File>> {
        let f = fs::OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match FileExt::try_lock(&f) {
            Ok(()) => Ok(Some(f)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}
