//! The data model of a validated configuration.

mod api_key;
mod body_mode;
mod caller;
mod disposition;
mod fault;
mod floor;
mod limits;
mod once_per;
mod quota;
mod route;
mod service;
mod target;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerName, Region, RouteName, ServiceName};

pub use api_key::ApiKey;
pub use body_mode::BodyMode;
pub use caller::Caller;
pub use disposition::Disposition;
pub use fault::Fault;
pub use floor::Floor;
pub use limits::Limits;
pub use once_per::OncePer;
pub use quota::{Quota, RequestRate};
pub use route::Route;
pub use service::Service;
pub use target::{Share, Target};

/// `Config` is a validated configuration, as nodes and keepers use it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// The regions over which floors are split, in the order of the configuration text.
    pub regions: Vec<Region>,
    /// The limits for all callers, if the configuration text sets them.
    pub limits: Option<Limits>,
    /// Whether requests need the key of a caller, except on public routes.
    pub require_keys: bool,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// The callers by name.
    pub callers: BTreeMap<CallerName, Caller>,
}
