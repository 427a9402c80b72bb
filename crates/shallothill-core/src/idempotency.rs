//! Idempotency keys: their format, their age and their home region.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::errors;
use crate::hash;
use crate::ids::Region;
use crate::time::UnixMillis;

/// `IdempotencyKey` identifies a non-idempotent request across resends: `[<region>.]<UUIDv7>`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    region: Option<Region>,
    id: Uuid,
}

impl IdempotencyKey {
    /// `try_parse` parses a key, and fails with `InvalidKey` for an invalid region name or for
    /// anything but a UUIDv7.
    pub fn try_parse(key: &str) -> errors::Result<Self> {
        let (region, id) = match key.rsplit_once('.') {
            Some((region, id)) => (Some(region), id),
            None => (None, key),
        };
        let invalid = || errors::InvalidKeySnafu { key }.build();
        let id = Uuid::try_parse(id).map_err(|_| invalid())?;
        if id.get_version_num() != 7 {
            return Err(invalid());
        }
        let region = region
            .map(Region::try_new)
            .transpose()
            .map_err(|_| invalid())?;
        Ok(Self { region, id })
    }

    /// `created` returns the creation time in the UUIDv7, by the wall clock of the key's creator.
    pub fn created(&self) -> UnixMillis {
        let (s, ns) = self.id.get_timestamp().map_or((0, 0), |t| t.to_unix());
        UnixMillis(
            s.saturating_mul(1000)
                .saturating_add(u64::from(ns) / 1_000_000),
        )
    }

    /// `age` returns the time since the key was created, or `None` if that is after `now`.
    pub fn age(&self, now: UnixMillis) -> Option<Duration> {
        now.0
            .checked_sub(self.created().0)
            .map(Duration::from_millis)
    }

    /// `home_region` returns the region whose keepers store the claims on the key: the region of
    /// the prefix, else one of `regions` chosen by a hash of the key.
    ///
    /// All processes must pass the same `regions` in the same order, as listed in their settings.
    ///
    /// Fails with `UnknownRegion` when the prefix is not in `regions` or `regions` is empty.
    pub fn home_region<'a>(&self, regions: &'a [Region]) -> errors::Result<&'a Region> {
        let found = match &self.region {
            Some(region) => regions.iter().find(|r| *r == region),
            None if regions.is_empty() => None,
            None => {
                let i = hash::hash64(self.id.as_bytes()) % regions.len() as u64;
                regions.get(i as usize)
            }
        };
        found.ok_or_else(|| {
            let known: Vec<&str> = regions.iter().map(Region::as_str).collect();
            errors::UnknownRegionSnafu {
                region: self.region.as_ref().map_or("", Region::as_str),
                known: known.join(", "),
            }
            .build()
        })
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.region {
            Some(region) => write!(f, "{region}.{}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}
