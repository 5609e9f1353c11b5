//! A loopback proxy between one entry and the store, with faults on demand.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What the way to the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum LinkFault {
    /// Passes everything on.
    #[default]
    None,
    /// Closes each connection.
    Refuse,
    /// Passes nothing on and closes nothing.
    Silence,
    /// Passes calls on and loses their answers.
    LoseAnswers,
    /// Passes each answer on after this time.
    Delay(Duration),
    /// Closes what is open now and then passes on.
    Reset,
}

/// The proxy of one entry.
#[derive(Debug, Clone)]
pub(crate) struct StoreProxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl StoreProxy {
    /// A proxy to the store at `target`.
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::None);
        tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                tokio::spawn(carry(inner, target, faults.clone()));
            }
        });
        Ok(Self { address, fault })
    }

    /// Where the entry finds the store.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts `fault` in force, also for connections that are open.
    pub(crate) fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn carry(inner: TcpStream, target: SocketAddr, mut faults: watch::Receiver<LinkFault>) {
    if *faults.borrow_and_update() == LinkFault::Refuse {
        return;
    }
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inner.set_nodelay(true);
    let _ = outer.set_nodelay(true);
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let watch = faults.clone();
    let closes = async {
        while faults.changed().await.is_ok() {
            let fault = *faults.borrow_and_update();
            if matches!(fault, LinkFault::Refuse | LinkFault::Reset) {
                return;
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = pass(inner_read, outer_write, watch.clone(), false) => {}
        () = pass(outer_read, inner_write, watch, true) => {}
        () = closes => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: watch::Receiver<LinkFault>,
    is_answer: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        let fault = *faults.borrow();
        match fault {
            LinkFault::Silence => std::future::pending().await,
            LinkFault::LoseAnswers if is_answer => std::future::pending().await,
            LinkFault::Delay(span) if is_answer => tokio::time::sleep(span).await,
            _ => {}
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
