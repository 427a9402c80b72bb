//! A connection with a small window and the segment size of an Ethernet link, as a consumer at the
//! end of a narrow link has it. On a loopback address the kernels would otherwise hold megabytes.

use std::ffi::c_void;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

const WINDOW_BYTES: i32 = 4096;
const SEGMENT_BYTES: i32 = 1460;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

/// `connect_slow` connects to an IPv4 address.
pub fn connect_slow(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SockAddrIn {
        family: AF_INET as u16,
        port: v4.port().to_be(),
        address: v4.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is checked and belongs to the stream from then on; all pointers are to
    // values that live until the calls return, with their sizes.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in [
            (SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
        ] {
            if setsockopt(fd, level, name, (&raw const value).cast(), 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(fd, &target, size_of::<SockAddrIn>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
