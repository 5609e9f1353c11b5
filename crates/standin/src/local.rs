//! Stand-ins on this machine's loopback addresses, for tests of real programs.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

use tokio::net::TcpListener;

use crate::error::Result;
use crate::platform::FakePlatform;
use crate::platform_http::platform_routes;

/// Second byte of the loopback addresses that are handed out.
const FIRST_BLOCK: u8 = 128;
const BLOCKS: u8 = 96;

/// Port of every address that is handed out, below those that the system gives away.
const PORT: u16 = 20_000;

/// A loopback address with a port that nothing else uses: every process and every call
/// gets an IP number of its own. Nothing is bound to find out, since a process that is
/// started in the same moment would inherit the socket and keep it in use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = IpAddr::from([127, FIRST_BLOCK + high % BLOCKS, low, last]);
    SocketAddr::new(ip, PORT)
}

/// Serves an empty platform on a free port.
///
/// # Errors
/// Where no port can be had.
pub async fn spawn_platform() -> Result<(FakePlatform, SocketAddr)> {
    let platform = FakePlatform::new();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener)?;
    let routes = platform_routes(&platform);
    tokio::spawn(async move { poem::Server::new_with_acceptor(acceptor).run(routes).await });
    Ok((platform, address))
}
