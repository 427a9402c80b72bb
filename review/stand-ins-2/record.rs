//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// `Record` writes lines to a file and, for notes, to standard output; clones share the file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// `elapsed` is the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// `line` writes a line to the file.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// `note` is [`Self::line`] for what is also shown on standard output.
    pub fn note(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.elapsed().as_secs_f64());
    }
}
