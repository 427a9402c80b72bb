//! Opens and inspects the data folder.

use std::time::Duration;

use shallothill_ledger::{LedgerMember, LedgerOptions};
use shallothill_replica::DurableState;
use shallothill_storage::{DataFolder, FolderOptions};

use tokio::time;

use crate::endpoint_departures::EndpointDepartures;
use crate::errors;
use crate::ledger::{Journal, first_incarnation};
use crate::log::LogDisk;
use crate::settings::Settings;

/// `RECORD_MAX_BYTES` bounds a record; the largest one is a complete text with its envelope.
const RECORD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// `DISK_FULL_PAUSE` is the time before a start that found the disk full is tried again.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);

/// `DurableData` is the content of the data folder.
#[derive(Debug)]
pub struct DurableData {
    /// The stored config log.
    pub disk: LogDisk,
    /// The content of the config log at the start.
    pub durable: DurableState,
    /// The stored log of the ledger.
    pub journal: Journal,
    /// The ledger member, after replaying the records of `journal`.
    pub member: LedgerMember,
    /// The departures of backend servers.
    pub departures: EndpointDepartures,
}

impl DurableData {
    /// `open` locks the data folder and reads it; while the disk is full it tries again.
    ///
    /// Fails when another process has locked it, or when it cannot be read.
    pub async fn open(settings: &Settings) -> errors::Result<Self> {
        loop {
            match Self::try_open(settings) {
                Err(errors::Error::Storage { source }) if source.is_disk_full() => {
                    tracing::warn!("keeper: {source}; the keeper starts once there is some");
                    time::sleep(DISK_FULL_PAUSE).await;
                }
                opened => return opened,
            }
        }
    }

    fn try_open(settings: &Settings) -> errors::Result<Self> {
        let options = FolderOptions {
            keeper: settings.id,
            max_record_bytes: RECORD_MAX_BYTES,
            ..FolderOptions::default()
        };
        let folder = DataFolder::try_open(&settings.data_dir, options)?;
        let mut member = LedgerMember::try_new(
            settings.id,
            &settings.ledger_group(),
            first_incarnation(),
            LedgerOptions::default(),
        )?;
        let journal = Journal::try_open(&folder, &mut member)?;
        let departures = EndpointDepartures::open(folder.share());
        let (disk, durable) = LogDisk::try_open(folder)?;
        Ok(Self {
            disk,
            durable,
            journal,
            member,
            departures,
        })
    }
}

/// `inspect` returns a description of the data folder without changing it.
///
/// Fails when the folder cannot be read.
pub fn inspect(settings: &Settings) -> errors::Result<String> {
    let summary = shallothill_storage::inspect(&settings.data_dir)?;
    Ok(summary.to_string())
}
