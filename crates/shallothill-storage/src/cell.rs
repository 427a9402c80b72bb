//! Cells: small files that each hold one checksummed value and are replaced atomically.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::errors;
use crate::errors::{Error, Result};
use crate::files::FileOps;

const MAGIC: &[u8; 4] = b"SHC1";
const HEADER_BYTES: usize = 8;

/// `replace` writes `bytes` durably to the file `name`; after a crash the file has either its old
/// or its new content.
pub(crate) fn replace<F: FileOps>(f: &F, dir: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let (path, tmp) = (dir.join(name), dir.join(format!("{name}.tmp")));
    let mut file = f.create(&tmp).map_err(|e| Error::file("create", &tmp, e))?;
    f.write(&mut file, bytes)
        .map_err(|e| Error::file("write", &tmp, e))?;
    f.sync(&file)
        .context(errors::SyncFailedSnafu { path: &tmp })?;
    f.rename(&tmp, &path)
        .map_err(|e| Error::file("rename", &tmp, e))?;
    f.sync_dir(dir)
        .context(errors::SyncFailedSnafu { path: dir })
}

/// `write` replaces the cell `name` by `value`.
pub(crate) fn write<F: FileOps, T: Serialize>(
    f: &F,
    dir: &Path,
    name: &str,
    value: &T,
) -> Result<()> {
    let body = rmp_serde::to_vec_named(value).context(errors::EncodeSnafu { name })?;
    let mut buf = Vec::with_capacity(HEADER_BYTES + body.len());
    buf.extend_from_slice(MAGIC);
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
    replace(f, dir, name, &buf)
}

/// `read` returns the value of the cell `name`, `None` when it was never written, and `Damaged`
/// when the file fails its checksum or cannot be decoded.
pub(crate) fn read<F: FileOps, T: DeserializeOwned>(
    f: &F,
    dir: &Path,
    name: &str,
) -> Result<Option<T>> {
    let path = dir.join(name);
    let Some(buf) = f.read(&path).map_err(|e| Error::file("read", &path, e))? else {
        return Ok(None);
    };
    let Some((header, body)) = buf.split_at_checked(HEADER_BYTES) else {
        return Err(Error::damaged(&path, "it is too short"));
    };
    let crc = crc32fast::hash(body).to_le_bytes();
    if !header.starts_with(MAGIC) || !header.ends_with(&crc) {
        return Err(Error::damaged(&path, "its checksum does not match"));
    }
    match rmp_serde::from_slice(body) {
        Ok(value) => Ok(Some(value)),
        Err(e) => Err(Error::damaged(&path, e.to_string())),
    }
}
