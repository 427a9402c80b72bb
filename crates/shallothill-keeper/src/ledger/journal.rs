//! The storage log of the ledger's records.

use shallothill_ledger::{LedgerMember, LedgerRecord};
use shallothill_storage::{DataFolder, Log, RestoredLog};

use crate::errors;

/// `LOG_NAME` names the ledger's log in the data folder.
pub const LOG_NAME: &str = "ledger";

/// `SNAPSHOT_MIN_BYTES` is the smallest size of a log that is replaced by a snapshot.
const SNAPSHOT_MIN_BYTES: u64 = 64 * 1024 * 1024;

/// `Journal` writes the records of a ledger member to its log.
#[derive(Debug)]
pub struct Journal {
    log: Log,
    is_ready: bool,
    snapshot_at_bytes: u64,
}

impl Journal {
    /// `try_open` opens the log and replays it into `member`. It replaces a lost or damaged log by
    /// an empty one, with which the member stays recovering.
    ///
    /// Fails when the data folder cannot be used.
    pub fn try_open(folder: &DataFolder, member: &mut LedgerMember) -> errors::Result<Self> {
        let opened = Log::try_open(folder, LOG_NAME).and_then(|(log, restored)| {
            if log.is_lost() {
                Ok((Log::try_reset(folder, LOG_NAME)?, RestoredLog::default()))
            } else {
                Ok((log, restored))
            }
        });
        let (log, restored) = match opened {
            Err(e @ shallothill_storage::Error::Damaged { .. }) => {
                tracing::error!("ledger: {e}; the keeper recovers from the others of its region");
                (Log::try_reset(folder, LOG_NAME)?, RestoredLog::default())
            }
            opened => opened?,
        };
        if let Some(snapshot) = &restored.snapshot {
            for record in decode::<Vec<LedgerRecord>>(folder, &snapshot.bytes)? {
                member.apply(&record);
            }
        }
        for record in &restored.records {
            member.apply(&decode(folder, &record.bytes)?);
        }
        let mut journal = Self {
            log,
            is_ready: false,
            snapshot_at_bytes: 0,
        };
        journal.plan_snapshot(restored.snapshot.map_or(0, |s| s.bytes.len()));
        Ok(journal)
    }

    /// `append` writes a record, which is durable after the next [`Self::sync`].
    ///
    /// Fails when the disk fails; the process must then end.
    pub fn append(&mut self, record: &LedgerRecord) -> shallothill_storage::Result<()> {
        self.is_ready |= matches!(record, LedgerRecord::Ready { .. });
        self.log.append(&encode(record)).map(|_| ())
    }

    /// `sync` makes every appended record durable.
    ///
    /// Fails when the disk fails; the process must then end.
    pub fn sync(&mut self) -> shallothill_storage::Result<()> {
        self.log.sync()?;
        if self.is_ready && self.log.is_lost() {
            self.log.mark_repaired()?;
        }
        Ok(())
    }

    /// `wants_snapshot` tells whether the log is large enough to be replaced by a snapshot.
    pub fn wants_snapshot(&self) -> bool {
        self.log.size_bytes() >= self.snapshot_at_bytes
    }

    /// `replace_with_snapshot` durably replaces all appended records by `records`.
    ///
    /// Fails when the disk fails; the process must then end.
    pub fn replace_with_snapshot(
        &mut self,
        records: &[LedgerRecord],
    ) -> shallothill_storage::Result<()> {
        let bytes = encode(&records);
        self.log.snapshot(self.log.last_position(), &bytes)?;
        self.plan_snapshot(bytes.len());
        Ok(())
    }

    // The next snapshot waits until the log is as large as the last one, so that writing snapshots
    // costs less than writing the records.
    fn plan_snapshot(&mut self, snapshot_bytes: usize) {
        self.snapshot_at_bytes = SNAPSHOT_MIN_BYTES.max(snapshot_bytes as u64);
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Records hold strings and numbers only, so serializing them into memory cannot fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

fn decode<T: serde::de::DeserializeOwned>(folder: &DataFolder, bytes: &[u8]) -> errors::Result<T> {
    rmp_serde::from_slice(bytes).map_err(|e| {
        errors::DecodeSnafu {
            what: "a record of the ledger",
            path: folder.path(),
            message: e.to_string(),
        }
        .build()
    })
}
