//! One-way letters: every process listens on one address and dials each peer once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use nng::options::{Options, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::codec::{MAX_MESSAGE, decode, encode};
use crate::error::Result;

/// Letters that wait for one peer before further ones are dropped.
const SEND_BUFFER: i32 = 128;
/// Letters that wait for this process before further ones are dropped.
const RECEIVE_BUFFER: usize = 4096;

/// Receives letters of type `M`.
#[derive(Debug)]
pub struct LetterBox<M> {
    receiver: mpsc::Receiver<M>,
    socket: Socket,
}

impl<M: DeserializeOwned + Send + 'static> LetterBox<M> {
    /// Listens on `address`.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub fn listen(address: SocketAddr) -> Result<Self> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE)?;
        socket.listen(&format!("tcp://{address}"))?;
        let (sender, receiver) = mpsc::channel(RECEIVE_BUFFER);
        let inbox = socket.clone();
        std::thread::spawn(move || receive(&inbox, &sender));
        Ok(Self { receiver, socket })
    }

    /// The next letter; `None` once the box is closed.
    pub async fn next(&mut self) -> Option<M> {
        self.receiver.recv().await
    }
}

impl<M> Drop for LetterBox<M> {
    fn drop(&mut self) {
        self.socket.close();
    }
}

fn receive<M: DeserializeOwned>(socket: &Socket, sender: &mpsc::Sender<M>) {
    while let Ok(message) = socket.recv() {
        let letter = match decode(&message) {
            Ok(letter) => letter,
            Err(error) => {
                log::warn!(error:% = error; "letter dropped");
                continue;
            }
        };
        match sender.try_send(letter) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => log::warn!("letter dropped: too many wait"),
            Err(mpsc::error::TrySendError::Closed(_)) => return,
        }
    }
}

/// Sends letters; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LetterSender {
    peers: Arc<Mutex<HashMap<SocketAddr, Socket>>>,
}

impl LetterSender {
    /// A sender that has dialled nobody yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends `letter` to `peer` without waiting. A letter that can't be queued is dropped.
    ///
    /// # Errors
    /// Where the letter can't be encoded or queued.
    pub fn send<M: Serialize>(&self, peer: SocketAddr, letter: &M) -> Result<()> {
        let bytes = encode(letter)?;
        let socket = self.socket(peer)?;
        socket
            .try_send(&bytes[..])
            .map_err(|(_, cause)| cause.into())
    }

    /// Closes the sockets of peers that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|address, _| keep(address));
    }

    fn socket(&self, peer: SocketAddr) -> Result<Socket> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(socket) = peers.get(&peer) {
            return Ok(socket.clone());
        }
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
        socket.dial_async(&format!("tcp://{peer}"))?;
        peers.insert(peer, socket.clone());
        Ok(socket)
    }
}
