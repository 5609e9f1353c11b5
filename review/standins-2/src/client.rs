//! A client that takes its answers at the speed of its own link.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;

use crate::rig::Outcome;

/// Segment size of an Ethernet link, in place of that of the loopback device.
const SEGMENT_BYTES: u32 = 1400;
/// Receive window that is asked for. The pages: links have small windows.
const WINDOW_BYTES: usize = 2048;

/// Connects to `address` over a link with small segments and a small window.
pub fn connect_over_link(address: SocketAddr) -> Outcome<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.connect_timeout(&address.into(), Duration::from_secs(1))?;
    socket.set_nonblocking(true)?;
    Ok(TcpStream::from_std(socket.into())?)
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// It is whole, after this time.
    Whole(Duration),
    /// The connection ended before, after this time, with this many bytes of the body.
    Cut(Duration, usize),
    /// It came in another way.
    Other(String),
}

/// Reads an answer of `body` by `bytes_per_s`, until `deadline` after `sent`.
pub async fn read_slowly(
    reader: &mut crate::http::Reader<TcpStream>,
    body: &[u8],
    bytes_per_s: usize,
    sent: Instant,
    deadline: Duration,
) -> End {
    let head = match tokio::time::timeout_at((sent + deadline).into(), reader.head()).await {
        Err(_) => return End::Other("no answer by the deadline".to_owned()),
        Ok(Ok(Some(head))) => head,
        Ok(_) => return End::Cut(sent.elapsed(), 0),
    };
    if head.status() != 200 || head.length() != Some(body.len()) {
        return End::Other(format!("status {}", head.status()));
    }
    let began = Instant::now();
    let mut taken = 0;
    loop {
        taken = reader.buffer.len().max(taken);
        if taken >= body.len() {
            let received: Vec<u8> = reader.buffer.drain(..body.len()).collect();
            return if received == body {
                End::Whole(sent.elapsed())
            } else {
                End::Other("another body".to_owned())
            };
        }
        let due = began + Duration::from_secs_f64(taken as f64 / bytes_per_s as f64);
        if due >= sent + deadline {
            return End::Other("not read by the deadline".to_owned());
        }
        tokio::time::sleep_until(due.into()).await;
        match tokio::time::timeout_at((sent + deadline).into(), reader.fill()).await {
            Err(_) => return End::Other("not whole by the deadline".to_owned()),
            Ok(Ok(true)) => {}
            Ok(_) => return End::Cut(sent.elapsed(), taken),
        }
    }
}
