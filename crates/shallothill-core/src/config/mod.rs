//! The model of a checked configuration.

mod caller;
mod disposition;
mod fault;
mod floor;
mod route;
mod service;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerName, Region, RouteName, ServiceName};

pub use caller::Caller;
pub use disposition::Disposition;
pub use fault::Fault;
pub use floor::Floor;
pub use route::Route;
pub use service::Service;

/// `Config` is a checked configuration, as nodes and keepers act on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// The regions that floors are split over, in the order of the text.
    pub regions: Vec<Region>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// The callers by name.
    pub callers: BTreeMap<CallerName, Caller>,
}
