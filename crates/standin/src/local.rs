//! Loopback addresses for tests that start real programs.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Range of the second octet of the addresses that are handed out.
const SECOND_OCTET_BASE: u8 = 128;
const SECOND_OCTET_COUNT: u8 = 96;

/// Port of all addresses that are handed out. It is below the ephemeral port range.
const PORT: u16 = 20_000;

/// Returns an unused loopback address. Every process and every call gets an IP address of its
/// own. The address is not probed by binding a socket, since a process that is started at the
/// same time would inherit the socket and keep the address in use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = IpAddr::from([
        127,
        SECOND_OCTET_BASE + high % SECOND_OCTET_COUNT,
        low,
        last,
    ]);
    SocketAddr::new(ip, PORT)
}
