//! The record of what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// `Record` writes lines with the milliseconds since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// `create` replaces the file at `path`.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// `line` writes one line to the file and to standard output.
    pub fn line(&self, text: impl Display) {
        let ms = self.started.elapsed().as_millis();
        let line = format!("{ms:>6} {text}");
        println!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{line}");
    }
}
