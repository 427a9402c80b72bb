//! The two example deployments, with the requests that their callers send.

use hyper::Method;

/// `RequestKind` is a kind of request that callers send repeatedly.
#[derive(Clone, Debug)]
pub(crate) struct RequestKind {
    pub(crate) label: &'static str,
    pub(crate) caller: &'static str,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) idempotent: bool,
}

/// `Deployment` is one example: its configuration, services and request kinds.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    /// The second byte of the loopback addresses; distinct, so that deployments share no address.
    pub(crate) loopback_net: u8,
    pub(crate) config_file: &'static str,
    pub(crate) regions: [&'static str; 3],
    pub(crate) services: [&'static str; 3],
    pub(crate) slots: u16,
    /// Processing time of a request at a backend server in milliseconds.
    pub(crate) latency_ms: u64,
    pub(crate) kinds: Vec<RequestKind>,
    /// A request that crashes every backend server that processes it.
    pub(crate) poison: RequestKind,
    /// The configuration change that is submitted: the text to replace and its replacement.
    pub(crate) config_edit: (&'static str, &'static str),
}

fn get(label: &'static str, caller: &'static str, path: &'static str) -> RequestKind {
    RequestKind {
        label,
        caller,
        method: Method::GET,
        path,
        idempotent: true,
    }
}

fn post(label: &'static str, caller: &'static str, path: &'static str) -> RequestKind {
    RequestKind {
        label,
        caller,
        method: Method::POST,
        path,
        idempotent: false,
    }
}

impl Deployment {
    /// `texas` describes the deployment of the Texas Office of Scholarly Publications.
    pub(crate) fn texas() -> Self {
        Self {
            name: "texas",
            loopback_net: 11,
            config_file: "texas.yaml",
            regions: ["central", "north", "south"],
            services: ["rulings", "manuscripts", "queries"],
            slots: 5,
            latency_ms: 20,
            kinds: vec![
                get(
                    "editor: fetch manuscript",
                    "editors-austin",
                    "/manuscripts/42",
                ),
                get(
                    "editor: fetch ruling",
                    "editors-dallas",
                    "/rulings/serial-comma",
                ),
                get("author: read queries", "authors", "/queries/7"),
                post("author: record response", "authors", "/queries/7/responses"),
                get(
                    "internal: look up ruling",
                    "manuscripts",
                    "/internal/rulings/1",
                ),
            ],
            poison: get("poison", "editors-houston", "/rulings/poison"),
            config_edit: ("max_attempts: 3", "max_attempts: 4"),
        }
    }

    /// `kopukcu` describes the deployment of Köpükçü Onarım Merkezi A.Ş.
    pub(crate) fn kopukcu() -> Self {
        Self {
            name: "kopukcu",
            loopback_net: 12,
            config_file: "kopukcu.yaml",
            regions: ["marmara", "ege", "anadolu"],
            services: ["inventory", "repairs", "courier"],
            slots: 7,
            latency_ms: 20,
            kinds: vec![
                get(
                    "shop: look up stock",
                    "shop-istanbul-1",
                    "/inventory/stock/9",
                ),
                get(
                    "shop: look up history",
                    "shop-izmir-1",
                    "/repairs/history/3",
                ),
                post("shop: book pickup", "shop-ankara-1", "/courier/pickups"),
                get("internal: check price", "courier", "/internal/prices/5"),
                get(
                    "internal: check warranty",
                    "repairs",
                    "/internal/warranties/3",
                ),
            ],
            poison: get("poison", "shop-konya-1", "/inventory/stock/poison"),
            config_edit: ("max_attempts: 3", "max_attempts: 2"),
        }
    }

    /// `data_centre` returns the region and the name of data centre `i`, from 0 to 5; each region
    /// has two.
    pub(crate) fn data_centre(&self, i: usize) -> (&'static str, String) {
        let region = self.regions[i / 2 % 3];
        (region, format!("{region}-{}", i % 2 + 1))
    }
}
