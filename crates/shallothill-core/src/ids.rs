//! Names of hosts, zones, services, routes and callers as distinct types.

use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `NAME_MAX_BYTES` is the longest accepted name in bytes.
pub const NAME_MAX_BYTES: usize = 64;

fn check(kind: &'static str, name: &str) -> errors::Result<()> {
    let fits = !name.is_empty() && name.len() <= NAME_MAX_BYTES;
    let legal = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    if fits && name.chars().all(legal) {
        return Ok(());
    }
    errors::InvalidNameSnafu { kind, name }.fail()
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// `try_new` checks `name` and fails with `InvalidName` for 0 or more than 64 bytes,
            /// or a character other than letters, digits, `-`, `_` and `.`.
            pub fn try_new(name: &str) -> errors::Result<Self> {
                check($kind, name)?;
                Ok(Self(Arc::from(name)))
            }

            /// `as_str` returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = errors::Error;

            fn try_from(name: String) -> errors::Result<Self> {
                Self::try_new(&name)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// `Region` names a group of data centres with short links between them.
    Region,
    "region"
);
name_type!(
    /// `DataCentre` names one data centre.
    DataCentre,
    "data centre"
);
name_type!(
    /// `NodeName` names one node, and with it the host that it runs on.
    NodeName,
    "node"
);
name_type!(
    /// `ServiceName` names a service of the configuration.
    ServiceName,
    "service"
);
name_type!(
    /// `RouteName` names a route of the configuration.
    RouteName,
    "route"
);
name_type!(
    /// `CallerName` names a caller of the configuration.
    CallerName,
    "caller"
);
name_type!(
    /// `EndpointName` names a backend server among those of one service on one host.
    EndpointName,
    "endpoint"
);

/// `KeeperId` numbers a keeper; numbers are never used again for another data folder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct KeeperId(pub u32);

impl KeeperId {
    /// `from_host_ip` numbers the keeper on the host at `ip`: the number is the address.
    pub fn from_host_ip(ip: Ipv4Addr) -> Self {
        Self(ip.to_bits())
    }

    /// `host_ip` returns the address that [`Self::from_host_ip`] made the number from.
    pub fn host_ip(self) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.0)
    }
}

impl fmt::Display for KeeperId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "k{}", self.0)
    }
}

/// `EndpointId` identifies an announced backend server across all hosts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointId {
    /// The service that the backend server serves.
    pub service: ServiceName,
    /// The node on the backend server's host.
    pub node: NodeName,
    /// The name that the backend server announced.
    pub name: EndpointName,
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.node, self.name)
    }
}

/// `Zone` is the place of a process: its region and its data centre.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Zone {
    /// The region.
    pub region: Region,
    /// The data centre within the region.
    pub data_centre: DataCentre,
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.data_centre)
    }
}
