//! The model of a checked configuration.

mod caller;
mod disposition;
mod fault;
mod floor;
mod limits;
mod once_per;
mod route;
mod service;
mod target;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerName, Region, RouteName, ServiceName};

pub use caller::Caller;
pub use disposition::Disposition;
pub use fault::Fault;
pub use floor::Floor;
pub use limits::Limits;
pub use once_per::OncePer;
pub use route::Route;
pub use service::Service;
pub use target::{Share, Target};

/// `Config` is a checked configuration, as nodes and keepers act on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// The regions that floors are split over, in the order of the text.
    pub regions: Vec<Region>,
    /// Limits of what callers may send, if the text gives them.
    pub limits: Option<Limits>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// The callers by name.
    pub callers: BTreeMap<CallerName, Caller>,
}
