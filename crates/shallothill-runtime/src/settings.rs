//! Reads the settings file of a process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::errors;

/// `Common` holds the settings that every process has; they are under the key `process`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Common {
    /// The least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
    /// The address on which the admin endpoint listens.
    pub admin_address: SocketAddr,
    /// The address of the statsd server; without it no metrics are sent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The interval between reports of metrics in seconds; 0 counts as 1.
    #[serde(default = "default_metrics_every")]
    pub metrics_every: u32,
}

impl Common {
    /// `metrics_period` returns the interval between reports of metrics, at least 1 s.
    pub fn metrics_period(&self) -> Duration {
        Duration::from_secs(u64::from(self.metrics_every.max(1)))
    }
}

fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn default_metrics_every() -> u32 {
    10
}

/// `load` reads the settings file `path` as YAML.
///
/// Fails with `ReadSettings` or `InvalidSettings`.
pub fn load<T: DeserializeOwned>(path: &Path) -> errors::Result<T> {
    let text = fs::read_to_string(path).context(errors::ReadSettingsSnafu { path })?;
    serde_saphyr::from_str(&text).map_err(|e| {
        errors::InvalidSettingsSnafu {
            path,
            message: e.to_string(),
        }
        .build()
    })
}

/// `bind` listens on `address`. `purpose` tells in the error message who or what connects there.
///
/// Fails with `Bind`.
pub async fn bind(address: SocketAddr, purpose: &'static str) -> errors::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(errors::BindSnafu { address, purpose })
}
