//! System calls that the standard library does not offer: signals, and sockets with small buffers.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn close(fd: i32) -> i32;
}

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, number: i32) {
    unsafe {
        kill(pid.cast_signed(), number);
    }
}

/// Connects with the segment size of an Ethernet and a receive buffer of `receive_bytes`.
pub fn connect_small(address: SocketAddr, receive_bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    connect_v4(address, receive_bytes)
}

fn connect_v4(address: SocketAddrV4, receive_bytes: i32) -> io::Result<TcpStream> {
    let segment = 1460_i32;
    let raw = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(address.ip().octets()),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &raw const segment, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const receive_bytes, 4);
        if connect(fd, &raw const raw, 16) < 0 {
            let error = io::Error::last_os_error();
            close(fd);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(fd))
    }
}
