//! Names and ids of nodes, zones, services, routes, callers and keepers as distinct types.

use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors;

/// `NAME_MAX_BYTES` is the length in bytes of the longest accepted name.
pub const NAME_MAX_BYTES: usize = 64;

fn check_name(kind: &'static str, name: &str) -> errors::Result<()> {
    let valid_length = !name.is_empty() && name.len() <= NAME_MAX_BYTES;
    let valid_char = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    if valid_length && name.chars().all(valid_char) {
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
                check_name($kind, name)?;
                Ok(Self(Arc::from(name)))
            }

            /// `as_str` returns the name as it was given to `try_new`.
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
    /// `Region` names a group of data centres with low latency between them.
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
    /// `EndpointName` names a backend server, uniquely within its service and host.
    EndpointName,
    "endpoint"
);

/// `KeeperId` identifies a keeper and its data folder; an id is never reused for another folder.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct KeeperId(pub u32);

impl KeeperId {
    /// `from_host_ip` returns the id of the keeper on the host at `ip`, the bits of the address.
    pub fn from_host_ip(ip: Ipv4Addr) -> Self {
        Self(ip.to_bits())
    }

    /// `host_ip` returns the address of the host, for an id built by [`Self::from_host_ip`].
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

/// `Zone` is the location of a process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Zone {
    /// The region that contains the data centre.
    pub region: Region,
    /// The data centre of the process.
    pub data_centre: DataCentre,
}

impl fmt::Display for Zone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.data_centre)
    }
}
