//! Tells other entries what this one knows of the store, and asks leads for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use place::departure::Departure;
use place::desired::DesiredState;
use place::fleet::clock::StoreTime;
use place::fleet::content_hash::ContentHash;
use place::fleet::copies::CopySource;
use place::fleet::list::{EntryList, ListVersion};
use place::fleet::log::{RegistryDelta, RegistryLog};
use place::fleet::pull::{PullScope, PullTarget};
use place::fleet::store_progress::{StoreProgress, StoreProgressReport};
use place::prelude::FleetEvent;
use quick_error::quick_error;
use rollout::order::RolloutRecord;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::state::InstanceState;

/// Path of the question.
pub(crate) const VIEW_PATH: &str = "/view";
/// Longest wait for an answer: several round trips. After it the other lead is asked, so
/// that one that died costs no freshness.
const PATIENCE: Duration = Duration::from_millis(300);
/// The same for an entry that knows nothing: whole copies for a region's entries that all
/// start at once take their time on the lead's link.
const FIRST_PATIENCE: Duration = Duration::from_millis(1500);
/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Encoded changes kept, by the version since which they are: followers differ by a few
/// versions at most.
const ENCODED_KEPT: usize = 16;

base::common! {
    /// What an entry knows and others may know more of.
    struct ViewQuery {
        /// Version of the registry's log.
        registry: u64,
        /// Version of the operator's rows.
        operator: u64,
        /// Version of the desired state.
        desired: u64,
        /// Versions of the lists of entries.
        lists: Vec<(String, ListVersion)>,
        /// Where the one that asks tells what it knows.
        view: SocketAddr,
        /// Whether it takes a copy of the registry from nobody else.
        insists: bool,
        /// Whether it asks which servers have left.
        ends: bool,
    }

    /// What the one that asked lacks.
    #[derive(Default)]
    struct ViewAnswer {
        store: StoreProgressReport,
        /// An encoded [`RegistryDelta`]; empty where nothing changed.
        registry: Vec<u8>,
        /// Where that is to be had instead.
        copy_at: Option<SocketAddr>,
        /// Whether it can't be told now, since others are.
        is_busy: bool,
        /// The failure domains to be evacuated, where something changed.
        evacuated: Option<Vec<String>>,
        /// The rollouts, where something changed.
        rollouts: Vec<RolloutRecord>,
        /// An encoded [`DesiredState`]; empty where the one that asked has it.
        desired: Vec<u8>,
        lists: Vec<EntryList>,
        /// Servers that have left, where that was asked for.
        ends: Vec<Departure>,
        /// The latest time that the store's clock can show.
        latest: StoreTime,
    }
}

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
        /// The other entry tells others everything now.
        Busy {
            display("busy with copies for others")
        }
        /// An answer that isn't understood, as of another version.
        Format(why: postcard::Error) {
            display("answer not understood: {}", why)
            from()
        }
    }
}

/// Changes of the registry as encoded for one follower, for others that ask for the same:
/// whole copies for a region's entries are made once.
#[derive(Debug, Default)]
pub(crate) struct EncodedChanges {
    /// The log that they are of. Its version alone may stand for other content before.
    of: (u64, ContentHash),
    by_mark: HashMap<u64, Rc<Vec<u8>>>,
}

impl EncodedChanges {
    fn since(&mut self, log: &RegistryLog, mark: u64) -> Rc<Vec<u8>> {
        let of = (log.version(), log.content());
        if self.of != of || self.by_mark.len() >= ENCODED_KEPT {
            self.by_mark.clear();
            self.of = of;
        }
        let encoded = self.by_mark.entry(mark);
        Rc::clone(encoded.or_insert_with(|| Rc::new(encode(&log.since(mark)))))
    }
}

/// What this entry knows beyond `query`; `None` where that isn't understood.
pub(crate) fn answer_view(state: &InstanceState, query: &str) -> Option<Vec<u8>> {
    let bytes = URL_SAFE_NO_PAD.decode(query).ok()?;
    let query: ViewQuery = postcard::from_bytes(&bytes).ok()?;
    let known = state.fleet.known();
    let mut answer = ViewAnswer {
        store: known.to_report(Instant::now()),
        latest: state.fleet.latest_store_time(),
        ..ViewAnswer::default()
    };
    if known.registry_at.is_some() && known.registry > query.registry {
        let log = state.servers.borrow();
        let changes = state.encoded.borrow_mut().since(&log, query.registry);
        let mut copies = state.copies.borrow_mut();
        let asked =
            copies.on_copy_request(Instant::now(), query.view, changes.len(), query.insists);
        match asked {
            CopySource::Direct => {
                state.metrics.on_told(query.registry == 0);
                answer.registry.clone_from(&changes);
            }
            CopySource::Relay(relay) => answer.copy_at = Some(relay),
            CopySource::Busy => answer.is_busy = true,
        }
    }
    if known.operator > query.operator {
        answer.evacuated = Some(state.evacuated.borrow().iter().cloned().collect());
        answer.rollouts = state.rollouts.book().records().cloned().collect();
    }
    if known.desired > query.desired
        && let Some(desired) = state.desired.borrow().as_deref()
    {
        answer.desired = encode(desired);
    }
    if query.ends {
        answer.ends = state.servers.borrow().departures();
    }
    answer.lists = state
        .fleet
        .with_regions(|_, regions| regions.lists_since(&query.lists));
    Some(encode(&answer))
}

/// The bytes of `value`; none where it can't be encoded, which the one that asked tells
/// from an answer.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_else(|error| {
        log::error!(error:%; "nothing told to another entry");
        Vec::new()
    })
}

/// Asks a lead for what it knows more, and takes that in.
pub(crate) async fn pull(state: Rc<InstanceState>, target: PullTarget) {
    let begun = Instant::now();
    let mut client = state.fleet.client.take();
    let result = ask(&state, &mut client, &target).await;
    state.fleet.client.replace(client);
    let result = result.and_then(|answers| {
        for answer in &answers {
            take_in(&state, begun, &target, answer)?;
        }
        let is_busy = answers.last().is_some_and(|answer| answer.is_busy);
        if is_busy {
            Err(ViewError::Busy)
        } else {
            Ok(())
        }
    });
    if let Err(error) = &result {
        log::info!(lead:% = target.view_address, error:%; "lead not followed");
    }
    let is_whole = target.scope.is_whole();
    state.metrics.on_pull(is_whole, result.is_ok());
    let done = result.is_ok();
    state
        .fleet
        .on_event(FleetEvent::PullFinished(target.view_address, done));
}

/// The lead's answer, and that of the entry which it names for a copy of the registry.
async fn ask(
    state: &InstanceState,
    client: &mut ViewClient,
    target: &PullTarget,
) -> Result<Vec<ViewAnswer>, ViewError> {
    let answer = client.ask(state, target, false).await?;
    let Some(view) = answer.copy_at else {
        return Ok(vec![answer]);
    };
    let relay = PullTarget {
        view_address: view,
        scope: target.scope,
    };
    let copy = ViewClient::default().ask(state, &relay, false).await;
    match copy {
        Ok(copy) if !copy.registry.is_empty() => return Ok(vec![answer, copy]),
        Ok(_) => log::info!(relay:% = view; "no copy of the registry there"),
        Err(error) => log::info!(relay:% = view, error:%; "no copy of the registry there"),
    }
    Ok(vec![client.ask(state, target, true).await?])
}

fn take_in(
    state: &InstanceState,
    begun: Instant,
    target: &PullTarget,
    answer: &ViewAnswer,
) -> Result<(), ViewError> {
    // The answer was given at some time since the question: taking it for new would hide how
    // long this process had no turn to read it.
    let heard = StoreProgress::from_report(begun, &answer.store);
    if !answer.desired.is_empty() {
        let desired: DesiredState = postcard::from_bytes(&answer.desired)?;
        state.on_desired(&desired);
    }
    let latest = match state.fleet.latest_store_time() {
        known if known.is_some() => known,
        _ => answer.latest,
    };
    for record in &answer.rollouts {
        state.rollouts.on_record(record, latest, false);
    }
    if let Some(evacuated) = &answer.evacuated {
        let is_whole = target.scope == PullScope::All;
        state.apply_operator_report(&heard, evacuated, is_whole);
    }
    if !answer.registry.is_empty() {
        let delta: RegistryDelta = postcard::from_bytes(&answer.registry)?;
        let is_whole = target.scope.is_whole();
        state.apply_registry_delta(target.view_address, &heard, &delta, is_whole);
    }
    if !answer.ends.is_empty() {
        state.apply_departures(target.view_address, &answer.ends);
    }
    state
        .fleet
        .on_event(FleetEvent::StoreTime(begun, answer.latest));
    state.fleet.on_known(|known| known.confirm_operator(&heard));
    state
        .fleet
        .on_event(FleetEvent::Lists(answer.lists.clone()));
    Ok(())
}

/// Asks one lead after the other, over a connection that is kept.
#[derive(Debug, Default)]
pub(crate) struct ViewClient {
    lead: Option<SocketAddr>,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl ViewClient {
    async fn ask(
        &mut self,
        state: &InstanceState,
        target: &PullTarget,
        insists: bool,
    ) -> Result<ViewAnswer, ViewError> {
        if self.lead != Some(target.view_address) {
            self.lead = Some(target.view_address);
            self.sender = None;
        }
        let known = state.fleet.known();
        let (registry, operator) = match target.scope {
            PullScope::Newer | PullScope::Departures => (known.registry, known.operator),
            PullScope::Registry => (0, known.operator),
            PullScope::All => (0, 0),
        };
        let query = encode(&ViewQuery {
            registry,
            operator,
            desired: known.desired,
            lists: state.fleet.with_regions(|_, regions| regions.versions()),
            view: state.config.view_address,
            insists,
            ends: target.scope == PullScope::Departures,
        });
        let path = format!("{VIEW_PATH}?{}", URL_SAFE_NO_PAD.encode(query));
        let patience = if known.is_complete() {
            PATIENCE
        } else {
            FIRST_PATIENCE
        };
        let fetched = timeout(patience, self.fetch(target.view_address, &path)).await;
        let fetched = fetched.unwrap_or(Err(ViewError::Timeout));
        if fetched.is_err() {
            self.sender = None;
        }
        Ok(postcard::from_bytes(&fetched?)?)
    }

    async fn fetch(&mut self, lead: SocketAddr, path: &str) -> Result<Bytes, ViewError> {
        let lost = |error: hyper::Error| ViewError::Connection(error.to_string());
        let open = self
            .sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed());
        if !open {
            let stream = TcpStream::connect(lead)
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
