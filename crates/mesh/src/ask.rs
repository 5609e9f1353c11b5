//! Asks with one answer each, between the two programs of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use nng::options::{Options, RecvMaxSize, RecvTimeout, SendTimeout};
use nng::{Protocol, Socket};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::codec::{MAX_MESSAGE, decode, encode};
use crate::error::{Error, Result};

/// Answers asks on a thread of its own.
#[derive(Debug)]
pub struct AskServer {
    socket: Socket,
}

impl AskServer {
    /// Listens on `address` and answers every readable ask with `answer`.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub fn listen<Q, A, F>(address: SocketAddr, mut answer: F) -> Result<Self>
    where
        Q: DeserializeOwned,
        A: Serialize,
        F: FnMut(Q) -> A + Send + 'static,
    {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE)?;
        socket.listen(&format!("tcp://{address}"))?;
        let worker = socket.clone();
        std::thread::spawn(move || {
            while let Ok(message) = worker.recv() {
                let reply = decode(&message).and_then(|ask| encode(&answer(ask)));
                let Ok(bytes) = reply else {
                    log::warn!("ask dropped: it can't be read or answered");
                    continue;
                };
                if let Err((_, cause)) = worker.send(&bytes[..]) {
                    log::debug!(cause:% = cause; "answer not sent");
                }
            }
        });
        Ok(Self { socket })
    }
}

impl Drop for AskServer {
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// Asks one server; each ask blocks its thread until the answer or the timeout.
#[derive(Debug, Clone)]
pub struct AskClient {
    socket: Socket,
}

impl AskClient {
    /// Dials `address` in the background; asks fail until it answers.
    ///
    /// # Errors
    /// Where no socket can be had.
    pub fn dial(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE)?;
        socket.set_opt::<RecvTimeout>(Some(timeout))?;
        socket.set_opt::<SendTimeout>(Some(timeout))?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Self { socket })
    }

    /// Asks and waits.
    ///
    /// # Errors
    /// Where the ask can't be sent, isn't answered in time, or the answer can't be read.
    pub fn ask<Q: Serialize, A: DeserializeOwned>(&self, ask: &Q) -> Result<A> {
        let bytes = encode(ask)?;
        self.socket
            .send(&bytes[..])
            .map_err(|(_, cause)| Error::from(cause))?;
        let message = self.socket.recv()?;
        decode(&message)
    }
}
