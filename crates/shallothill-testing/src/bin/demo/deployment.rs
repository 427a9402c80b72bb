//! The two example deployments and the requests of their callers.

use hyper::Method;

/// `Kind` is one kind of request.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) label: &'static str,
    pub(crate) caller: &'static str,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) idempotent: bool,
}

/// `Deployment` is one example: the configuration and who sends what.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    /// The second byte of the loopback addresses, so that deployments never share one.
    pub(crate) net: u8,
    pub(crate) file: &'static str,
    pub(crate) regions: [&'static str; 3],
    pub(crate) services: [&'static str; 3],
    pub(crate) slots: u16,
    /// Time of the work of a request in milliseconds.
    pub(crate) latency_ms: u64,
    pub(crate) kinds: Vec<Kind>,
    /// A path whose requests crash every backend server that runs them, and who sends it.
    pub(crate) poison: Kind,
    /// A change of the text: what to replace by what.
    pub(crate) change: (&'static str, &'static str),
}

fn get(label: &'static str, caller: &'static str, path: &'static str) -> Kind {
    Kind {
        label,
        caller,
        method: Method::GET,
        path,
        idempotent: true,
    }
}

fn post(label: &'static str, caller: &'static str, path: &'static str) -> Kind {
    Kind {
        label,
        caller,
        method: Method::POST,
        path,
        idempotent: false,
    }
}

impl Deployment {
    /// `texas` is the Texas Office of Scholarly Publications.
    pub(crate) fn texas() -> Self {
        Self {
            name: "texas",
            net: 11,
            file: "texas.yaml",
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
            change: ("max_attempts: 3", "max_attempts: 4"),
        }
    }

    /// `kopukcu` is Köpükçü Onarım Merkezi A.Ş.
    pub(crate) fn kopukcu() -> Self {
        Self {
            name: "kopukcu",
            net: 12,
            file: "kopukcu.yaml",
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
            change: ("max_attempts: 3", "max_attempts: 2"),
        }
    }

    /// `data_centre` names data centre `i` of 6; two neighbours share a region.
    pub(crate) fn data_centre(&self, i: usize) -> (&'static str, String) {
        let region = self.regions[i / 2 % 3];
        (region, format!("{region}-{}", i % 2 + 1))
    }
}
