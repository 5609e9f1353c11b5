//! A proxy that holds back what a partition would hold back.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Proxy in front of a server that can hold the bytes of its clients back. As in a partition, what
/// it holds is lost if the client resets the connection, and delivered later if the client closes
/// it.
pub struct HoldingProxy {
    pub address: SocketAddr,
    is_holding: watch::Sender<bool>,
    ended: watch::Receiver<EndCounts>,
}

/// How clients ended their connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndCounts {
    pub closed: usize,
    pub reset: usize,
}

impl HoldingProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let is_holding = watch::Sender::new(false);
        let (ends, ended) = watch::channel(EndCounts::default());
        let holding = is_holding.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else {
                    continue;
                };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                let requests = hold(client_read, server_write, holding.subscribe(), ends.clone());
                tokio::spawn(requests);
                tokio::spawn(forward(server_read, client_write, holding.subscribe()));
            }
        });
        Self {
            address,
            is_holding,
            ended,
        }
    }

    /// Holds all bytes back, in both directions.
    pub fn hold(&self) {
        self.is_holding.send_replace(true);
    }

    /// Delivers what is still held, and forwards again.
    pub fn deliver(&self) {
        self.is_holding.send_replace(false);
    }

    /// How clients ended their connections so far.
    pub fn ended(&self) -> EndCounts {
        *self.ended.borrow()
    }
}

async fn hold(
    mut client: OwnedReadHalf,
    mut server: OwnedWriteHalf,
    mut is_holding: watch::Receiver<bool>,
    ends: watch::Sender<EndCounts>,
) {
    let (mut held, mut is_open) = (Vec::new(), true);
    let mut chunk = vec![0; 16 << 10];
    loop {
        let delivers = !*is_holding.borrow_and_update();
        if delivers && !held.is_empty() {
            if server.write_all(&held).await.is_err() {
                return;
            }
            held.clear();
        }
        if delivers && !is_open {
            return;
        }
        tokio::select! {
            read = client.read(&mut chunk), if is_open => match read {
                Ok(0) => {
                    is_open = false;
                    ends.send_modify(|ends| ends.closed += 1);
                }
                Ok(length) => held.extend_from_slice(&chunk[..length]),
                Err(_) => {
                    ends.send_modify(|ends| ends.reset += 1);
                    return;
                }
            },
            changed = is_holding.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn forward(
    mut server: OwnedReadHalf,
    mut client: OwnedWriteHalf,
    mut is_holding: watch::Receiver<bool>,
) {
    let mut chunk = vec![0; 16 << 10];
    while let Ok(length @ 1..) = server.read(&mut chunk).await {
        if is_holding.wait_for(|is_holding| !is_holding).await.is_err() {
            return;
        }
        if client.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
