//! Snapshot files.

use std::path::Path;

use crate::cell;
use crate::errors::{Error, Result};
use crate::files::FileOps;
use crate::manifest;
use crate::position::Position;
use crate::record;
use crate::record::Parsed;

/// `write` stores a snapshot durably; it takes effect when the manifest lists it.
pub(crate) fn write<F: FileOps>(
    f: &F,
    dir: &Path,
    log: &str,
    position: Position,
    bytes: &[u8],
) -> Result<()> {
    let mut buf = Vec::with_capacity(record::HEADER_BYTES + bytes.len());
    record::encode(position, bytes, &mut buf);
    cell::replace(f, dir, &manifest::snapshot_file_name(log, position), &buf)
}

/// `read` returns the bytes of a snapshot that the manifest lists, and `Damaged` when the file is
/// missing or fails its checksum.
pub(crate) fn read<F: FileOps>(
    f: &F,
    dir: &Path,
    log: &str,
    position: Position,
) -> Result<Vec<u8>> {
    let path = dir.join(manifest::snapshot_file_name(log, position));
    let buf = f
        .read(&path)
        .map_err(|e| Error::file("read", &path, e))?
        .ok_or_else(|| Error::damaged(&path, "it is missing"))?;
    match record::parse(&buf, 0) {
        Parsed::Record(found, body)
            if found == position && record::HEADER_BYTES + body.len() == buf.len() =>
        {
            Ok(body.to_vec())
        }
        _ => Err(Error::damaged(&path, "its checksum does not match")),
    }
}
