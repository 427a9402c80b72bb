//! Where the ledger's records become durable.

use std::io;

use shallothill_ledger::Record;

/// `Journal` keeps the records of a ledger member.
pub trait Journal: Send + 'static {
    /// `append` adds a record, which is durable after the next [`Self::sync`].
    ///
    /// Fails when the disk refuses; the process must then end.
    fn append(&mut self, record: &Record) -> io::Result<()>;

    /// `sync` makes every appended record durable.
    ///
    /// Fails when the disk refuses; the process must then end.
    fn sync(&mut self) -> io::Result<()>;

    /// `wants_snapshot` tells whether the log has grown so much that it is to be replaced.
    fn wants_snapshot(&self) -> bool;

    /// `replace` replaces everything appended so far by `records`, durably.
    ///
    /// Fails when the disk refuses; the process must then end.
    fn replace(&mut self, records: Vec<Record>) -> io::Result<()>;
}

/// `NoJournal` keeps nothing.
pub struct NoJournal;

impl Journal for NoJournal {
    fn append(&mut self, _: &Record) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn wants_snapshot(&self) -> bool {
        false
    }

    fn replace(&mut self, _: Vec<Record>) -> io::Result<()> {
        Ok(())
    }
}
