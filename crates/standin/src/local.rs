//! Loopback addresses for tests of real programs.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Second byte of the loopback addresses that are handed out.
const SECOND_OCTET_BASE: u8 = 128;
const SECOND_OCTET_COUNT: u8 = 96;

/// Port of every address that is handed out, below those that the system gives away.
const PORT: u16 = 20_000;

/// A loopback address with a port that nothing else uses: every process and every call
/// gets an IP number of its own. Nothing is bound to find out, since a process that is
/// started in the same moment would inherit the socket and keep it in use.
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
