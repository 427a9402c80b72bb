//! Limits of a configuration text.

/// `TEXT_MAX_BYTES` bounds the text, so that a whole one fits one frame of 8 MB with its envelope;
/// the largest planned configuration has about 6 MB.
pub const TEXT_MAX_BYTES: usize = 7 * 1024 * 1024;
/// `REGIONS_MAX` bounds the regions; the system is sized for 3 regions with 9 data centres.
pub const REGIONS_MAX: usize = 9;
/// `SERVICES_MAX` bounds the services; the system is sized for 1,100.
pub const SERVICES_MAX: usize = 2_000;
/// `ROUTES_MAX` bounds the routes; the system is sized for 7,500.
pub const ROUTES_MAX: usize = 10_000;
/// `CALLERS_MAX` bounds the callers; the system is sized for 61,000.
pub const CALLERS_MAX: usize = 100_000;
/// `ENDPOINTS_MAX` is the largest possible floor; the system is sized for 24,000 endpoints.
pub const ENDPOINTS_MAX: u32 = 24_000;
/// `ATTEMPTS_MAX` bounds the attempts of one request, since each one loads another server.
pub const ATTEMPTS_MAX: u8 = 10;
/// `BODY_MAX_BYTES` bounds the body limit of a route, because gates buffer bodies of
/// non-idempotent requests.
pub const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;
/// `DURATION_MAX_S` bounds every duration in seconds.
pub const DURATION_MAX_S: u64 = 3_600;
/// `PATH_MAX_BYTES` bounds the path of a route.
pub const PATH_MAX_BYTES: usize = 1_024;
/// `HEADERS_MAX_BYTES` bounds the limit of headers, which a node holds in memory.
pub const HEADERS_MAX_BYTES: u64 = 1024 * 1024;
/// `HOST_MAX_BYTES` bounds the host of a route, as names of hosts are bounded.
pub const HOST_MAX_BYTES: usize = 253;
/// `FAULTS_MAX` bounds the reported faults; a last one tells how many more there are.
pub const FAULTS_MAX: usize = 1_000;
