//! The cases by their names.

mod foreign_check_in;
mod frozen_upload;
mod unfinished_heads;

use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

/// `run` runs the case `name`.
pub fn run(name: &str, root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    match name {
        "foreign-check-in" => foreign_check_in::run(root, trouble, record),
        "frozen-upload" => frozen_upload::run(root, trouble, record),
        "unfinished-heads" => unfinished_heads::run(root, trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}
