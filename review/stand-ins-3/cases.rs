//! The cases by their names.

mod frozen_upload;

use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

/// `run` runs the case `name`.
pub fn run(name: &str, root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    match name {
        "frozen-upload" => frozen_upload::run(root, trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}
