//! The limit of open descriptors of this process and of those that it starts.

use std::io;

/// `RESOURCE` is the number of the limit on Linux.
const RESOURCE: i32 = 7;

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

unsafe extern "C" {
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

/// `allow` raises the soft limit to `count`; fails if the hard limit is lower.
pub fn allow(count: u64) -> io::Result<()> {
    let mut limit = Limit { soft: 0, hard: 0 };
    // SAFETY: the call writes the two numbers of `limit` and nothing else.
    if unsafe { getrlimit(RESOURCE, &mut limit) } != 0 {
        return Err(io::Error::last_os_error());
    }
    if limit.soft >= count {
        return Ok(());
    }
    limit.soft = count;
    // SAFETY: the call reads the two numbers of `limit`.
    if unsafe { setrlimit(RESOURCE, &limit) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(())
}
