//! Opens TCP connections to servers and other entries.

use std::io::Result;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpSocket, TcpStream};

/// Opens connections, from a certain address of this machine if the settings say so.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dialer {
    source: Option<IpAddr>,
}

impl Dialer {
    /// Creates a dialer whose connections leave from `source`; `None` leaves the choice to the
    /// machine's routes.
    pub(crate) fn new(source: Option<IpAddr>) -> Self {
        Self { source }
    }

    /// Connects to `address`.
    pub(crate) async fn connect(self, address: SocketAddr) -> Result<TcpStream> {
        let Some(source) = self.source.filter(|_| address.is_ipv4()) else {
            return TcpStream::connect(address).await;
        };
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }
}
