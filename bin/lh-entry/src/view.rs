//! Tells other entries what this one read from the store, and hears it from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use place::desired::DesiredState;
use place::view::{ServerCopy, ViewAnswer, ViewMark};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::state::InstanceState;

/// Path at which changes are told.
pub(crate) const VIEW_PATH: &str = "/view";
/// Path at which the desired state is told.
pub(crate) const DESIRED_PATH: &str = "/desired";
/// Longest wait for another entry of the region: several round trips. After it
/// the store is asked, so that an entry that died costs no freshness.
const PATIENCE: Duration = Duration::from_millis(300);
/// A reading older than this is no help: the store is asked instead. A reader's
/// interval and a slow answer; with the time until a follower looks next, a
/// server that leaves just after a reader went silent gets nothing for too long
/// by a third of a second at least.
const OLDEST: Duration = Duration::from_millis(1250);
/// What was told counts as fresh for this long: several times the interval.
const FRESH: Duration = Duration::from_millis(1500);
/// The same of what the deputy told, which is asked less often.
const DEPUTY_FRESH: Duration = Duration::from_millis(2500);
/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

quick_error! {
    /// Why another entry's word gave nothing.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum ViewError {
        /// No connection or no whole answer.
        Connection(why: String) {
            display("{}", why)
        }
        /// No answer in time.
        Timeout {
            display("no answer in time")
        }
        /// The reader itself has no fresh reading.
        Stale(age: Duration) {
            display("the reader's reading is {} ms old", age.as_millis())
        }
        /// An answer that isn't understood, as of another version.
        Format(why: postcard::Error) {
            display("answer not understood: {}", why)
            from()
        }
    }
}

/// What changed since the mark in `query`, for a follower.
pub(crate) fn answer_view(state: &InstanceState, query: &str) -> Vec<u8> {
    let mark = read_mark(query);
    let servers = state.servers.borrow();
    let (mark, whole, entries, gone) = servers.since(mark);
    let read_at = state.placer.borrow().catalog.read_at();
    let answer = ViewAnswer {
        mark,
        age: read_at.map_or(Duration::MAX, |at| at.elapsed()),
        trouble: !state.reads.get(),
        whole,
        entries,
        gone,
        foreign: servers.foreign().to_vec(),
        desired: state.version(),
        operator: state.operator.get(),
        evacuated: state.evacuated.borrow().iter().cloned().collect(),
    };
    encode(&answer)
}

/// The desired state in force, for a follower.
pub(crate) fn answer_desired(state: &InstanceState) -> Vec<u8> {
    let desired = state.desired.borrow();
    desired.as_deref().map(encode).unwrap_or_default()
}

/// The bytes of `value`; none where it can't be encoded, which the follower tells
/// from an answer, and reads for itself.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_else(|error| {
        log::error!(error:%; "nothing told to another entry");
        Vec::new()
    })
}

/// Follows one reader after the other.
#[derive(Debug, Default)]
pub(crate) struct ViewFollower {
    reader: Option<SocketAddr>,
    sender: Option<SendRequest<Empty<Bytes>>>,
    copy: ServerCopy,
}

impl ViewFollower {
    /// Asks the entry at `reader` once, and takes its word in.
    ///
    /// # Errors
    /// Where nothing fresh is to be had there.
    pub(crate) async fn follow(
        &mut self,
        state: &Rc<InstanceState>,
        reader: SocketAddr,
    ) -> Result<(), ViewError> {
        let now = self.hear(state, reader).await?;
        state.follows_until.set(Some(now + FRESH));
        Ok(())
    }

    /// The same at the deputy, whose word counts besides the reader's.
    ///
    /// # Errors
    /// Where nothing fresh is to be had there.
    pub(crate) async fn follow_deputy(
        &mut self,
        state: &Rc<InstanceState>,
        deputy: SocketAddr,
    ) -> Result<(), ViewError> {
        let now = self.hear(state, deputy).await?;
        state.deputy_until.set(Some(now + DEPUTY_FRESH));
        Ok(())
    }

    /// Takes the word of `reader` in; gives the time at which it came.
    async fn hear(
        &mut self,
        state: &Rc<InstanceState>,
        reader: SocketAddr,
    ) -> Result<Instant, ViewError> {
        if self.reader != Some(reader) {
            self.reader = Some(reader);
            self.sender = None;
        }
        let result = self.ask(state, reader).await;
        if result.is_err() {
            self.sender = None;
        }
        result
    }

    async fn ask(
        &mut self,
        state: &Rc<InstanceState>,
        reader: SocketAddr,
    ) -> Result<Instant, ViewError> {
        let mark = self.copy.mark();
        let path = format!("{VIEW_PATH}?{},{}", mark.reader, mark.change);
        let answer: ViewAnswer = self.get(reader, &path).await?;
        if answer.trouble || answer.age > OLDEST {
            return Err(ViewError::Stale(answer.age));
        }
        if answer.desired > state.version() {
            let desired: DesiredState = self.get(reader, DESIRED_PATH).await?;
            state.on_desired(&desired);
        }
        state.on_told_operator(answer.operator, &answer.evacuated);
        let now = Instant::now();
        let snapshot = self.copy.on_answer(now, &answer);
        state.on_servers(&snapshot);
        Ok(now)
    }

    async fn get<T: DeserializeOwned>(
        &mut self,
        reader: SocketAddr,
        path: &str,
    ) -> Result<T, ViewError> {
        let fetched = timeout(PATIENCE, self.fetch(reader, path)).await;
        let bytes = fetched.unwrap_or(Err(ViewError::Timeout))?;
        Ok(postcard::from_bytes(&bytes)?)
    }

    async fn fetch(&mut self, reader: SocketAddr, path: &str) -> Result<Bytes, ViewError> {
        let lost = |error: hyper::Error| ViewError::Connection(error.to_string());
        let open = self
            .sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed());
        if !open {
            let stream = TcpStream::connect(reader)
                .await
                .map_err(|error| ViewError::Connection(error.to_string()))?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(lost)?;
            tokio::task::spawn_local(async move {
                if let Err(error) = connection.await {
                    log::debug!(error:%; "connection to another entry ended");
                }
            });
            self.sender = Some(sender);
        }
        let Some(sender) = self.sender.as_mut() else {
            return Err(ViewError::Timeout);
        };
        sender.ready().await.map_err(lost)?;
        let request = Request::get(path)
            .header(hyper::header::HOST, "entry")
            .body(Empty::new())
            .map_err(|error| ViewError::Connection(error.to_string()))?;
        let answer = sender.send_request(request).await.map_err(lost)?;
        if answer.status() != StatusCode::OK {
            return Err(ViewError::Connection(format!("status {}", answer.status())));
        }
        let body = Limited::new(answer.into_body(), ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| ViewError::Connection(error.to_string()))?;
        Ok(body.to_bytes())
    }
}

fn read_mark(query: &str) -> ViewMark {
    let parts = query.split_once(',');
    let mark = parts.and_then(|(reader, change)| {
        Some(ViewMark {
            reader: reader.parse().ok()?,
            change: change.parse().ok()?,
        })
    });
    mark.unwrap_or_default()
}
