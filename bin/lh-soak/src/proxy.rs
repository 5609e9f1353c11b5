//! TCP proxy between one entry and the store, with fault injection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 << 10;

/// Fault of the link to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum LinkFault {
    /// Forwards everything.
    #[default]
    None,
    /// Closes open connections, and new ones at once.
    Refuse,
    /// Forwards nothing but keeps connections open.
    Stall,
    /// Forwards requests but no responses.
    DropResponses,
    /// Delays responses by this duration.
    DelayResponses(Duration),
    /// Closes the open connections, then forwards everything.
    Reset,
}

/// Proxy of one entry.
#[derive(Debug, Clone)]
pub(crate) struct StoreProxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl StoreProxy {
    /// Starts a proxy to the store at `store_address`.
    pub(crate) async fn start(store_address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(client, store_address, faults.clone()));
            }
        });
        Ok(Self { address, fault })
    }

    /// Address to which the entry connects.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for new and open connections.
    pub(crate) fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn proxy_connection(
    client: TcpStream,
    store_address: SocketAddr,
    mut faults: watch::Receiver<LinkFault>,
) {
    if *faults.borrow_and_update() == LinkFault::Refuse {
        return;
    }
    let Ok(store) = TcpStream::connect(store_address).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = store.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (store_read, store_write) = store.into_split();
    let watch = faults.clone();
    let until_closed = async {
        while faults.changed().await.is_ok() {
            let fault = *faults.borrow_and_update();
            if matches!(fault, LinkFault::Refuse | LinkFault::Reset) {
                return;
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = relay(client_read, store_write, watch.clone(), false) => {}
        () = relay(store_read, client_write, watch, true) => {}
        () = until_closed => {}
    }
}

async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: watch::Receiver<LinkFault>,
    is_response: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let fault = *faults.borrow();
        match fault {
            LinkFault::Stall => std::future::pending().await,
            LinkFault::DropResponses if is_response => std::future::pending().await,
            LinkFault::DelayResponses(span) if is_response => tokio::time::sleep(span).await,
            _ => {}
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
