//! Upper bounds on a configuration text and its values.

/// `TEXT_MAX_BYTES` bounds the text so that it fits with its envelope into one frame of 8 MB; the
/// largest planned configuration has about 6 MB.
pub const TEXT_MAX_BYTES: usize = 7 * 1024 * 1024;
/// `REGIONS_MAX` bounds the regions; the system is sized for 3 regions with 9 data centres.
pub const REGIONS_MAX: usize = 9;
/// `SERVICES_MAX` bounds the services; the system is sized for 1,100.
pub const SERVICES_MAX: usize = 2_000;
/// `ROUTES_MAX` bounds the routes; the system is sized for 7,500.
pub const ROUTES_MAX: usize = 10_000;
/// `SPLIT_PARTS_MAX` bounds the parts of a split, which a node goes through for each request.
pub const SPLIT_PARTS_MAX: usize = 2_000;
/// `CALLERS_MAX` bounds the callers; the system is sized for 61,000.
pub const CALLERS_MAX: usize = 100_000;
/// `KEYS_MAX` bounds the keys of one caller; rotating a key needs two at a time.
pub const KEYS_MAX: usize = 64;
/// `ENDPOINTS_MAX` bounds the floor of a service; the system is sized for 24,000 endpoints.
pub const ENDPOINTS_MAX: u32 = 24_000;
/// `ATTEMPTS_MAX` bounds the attempts of one request, because each one adds load to another backend
/// server.
pub const ATTEMPTS_MAX: u8 = 10;
/// `BODY_MAX_BYTES` bounds the body limit of a route, because gates buffer the bodies of
/// non-idempotent requests.
pub const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;
/// `DURATION_MAX_S` bounds every duration in the text.
pub const DURATION_MAX_S: u64 = 3_600;
/// `PATH_MAX_BYTES` bounds the path of a route and the health path of a service.
pub const PATH_MAX_BYTES: usize = 1_024;
/// `HEADERS_MAX_BYTES` bounds the header limit, because a node buffers headers in memory.
pub const HEADERS_MAX_BYTES: u64 = 1024 * 1024;
/// `HOST_MAX_BYTES` bounds the host of a route; it is the maximum length of a DNS name.
pub const HOST_MAX_BYTES: usize = 253;
/// `FAULTS_MAX` bounds the faults that are listed; one further fault gives the number of the rest.
pub const FAULTS_MAX: usize = 1_000;
