//! Serves this entry's knowledge of the store to other entries, and pulls it from leads.

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
use place::prelude::{FleetEvent, StorePosition};
use quick_error::quick_error;
use rollout::order::RolloutRecord;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::state::InstanceState;

/// Path of the request.
pub(crate) const VIEW_PATH: &str = "/view";
/// Timeout of a pull, which covers several round trips. After it the other lead is asked, so
/// that a failed lead doesn't delay updates.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a pull by an entry that has no complete state yet. If all entries of a region
/// start at once, full copies for all of them take long on the lead's link.
const INITIAL_PULL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a response, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum number of cached encodings, one for each starting version. Followers are at most a
/// few versions apart.
const MAX_ENCODED: usize = 16;

base::common! {
    /// Request for newer state: the versions that the requesting entry has.
    struct ViewQuery {
        /// Version of the registry's log.
        registry: u64,
        /// The store's position when the operator's rows last changed.
        operator: StorePosition,
        /// The store's position when the records of rollouts last changed.
        rollouts: StorePosition,
        /// Version of the desired state.
        desired: u64,
        /// Versions of the lists of entries.
        lists: Vec<(String, ListVersion)>,
        /// Address at which the requesting entry serves its own state.
        view: SocketAddr,
        /// Whether it accepts a copy of the registry only from the requested entry.
        direct_only: bool,
        /// Whether it requests the list of departed servers.
        departures: bool,
    }

    /// Response with the state that the requesting entry lacks.
    #[derive(Default)]
    struct ViewAnswer {
        store: StoreProgressReport,
        /// The store's position up to which the sender knows every registration.
        registry_listed: StorePosition,
        /// An encoded [`RegistryDelta`]; empty if nothing changed.
        registry: Vec<u8>,
        /// Address of another entry that serves a copy of the registry instead.
        relay: Option<SocketAddr>,
        /// Whether the registry can't be sent now because copies for others occupy the link.
        is_busy: bool,
        /// Evacuated failure domains, if any of the operator's rows changed.
        evacuated: Option<Vec<String>>,
        /// Rollouts, if any of their records or of the operator's rows changed.
        rollouts: Vec<RolloutRecord>,
        /// An encoded [`DesiredState`]; empty if the requesting entry has it.
        desired: Vec<u8>,
        lists: Vec<EntryList>,
        /// Departed servers, if requested.
        departures: Vec<Departure>,
        /// Upper bound on the current time of the store's clock.
        latest_store_time: StoreTime,
    }
}

quick_error! {
    /// Why a pull from another entry failed.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum ViewError {
        /// The connection failed, or the response was incomplete.
        Connection(why: String) {
            display("{}", why)
        }
        /// No response in time.
        Timeout {
            display("no answer in time")
        }
        /// The other entry is sending copies to others.
        Busy {
            display("busy with copies for others")
        }
        /// The response can't be decoded, for example because it is from another release.
        Format(why: postcard::Error) {
            display("can't decode the response: {}", why)
            from()
        }
    }
}

/// Cache of encoded registry changes, shared by followers that request the same ones. A full
/// copy for all entries of a region is encoded once.
#[derive(Debug, Default)]
pub(crate) struct EncodedChanges {
    /// Version, content and rewrites of the log that was encoded. The version alone doesn't
    /// suffice: the same version may have had other content before, or older sequence numbers.
    log_state: (u64, ContentHash, u64),
    by_version: HashMap<u64, Rc<Vec<u8>>>,
}

impl EncodedChanges {
    fn since(&mut self, log: &RegistryLog, version: u64) -> Rc<Vec<u8>> {
        let log_state = (log.version(), log.content(), log.rewrites());
        if self.log_state != log_state || self.by_version.len() >= MAX_ENCODED {
            self.by_version.clear();
            self.log_state = log_state;
        }
        let encoded = self.by_version.entry(version);
        Rc::clone(encoded.or_insert_with(|| Rc::new(encode(&log.since(version)))))
    }
}

/// Returns the state that is newer than `query`; `None` if the query can't be decoded.
pub(crate) fn answer_view(state: &InstanceState, query: &str) -> Option<Vec<u8>> {
    let bytes = URL_SAFE_NO_PAD.decode(query).ok()?;
    let query: ViewQuery = postcard::from_bytes(&bytes).ok()?;
    let known = state.fleet.known();
    let mut answer = ViewAnswer {
        store: known.to_report(Instant::now()),
        registry_listed: known.registry_listed,
        latest_store_time: state.fleet.latest_store_time(),
        ..ViewAnswer::default()
    };
    if known.registry_at.is_some() && known.registry > query.registry {
        let log = state.servers.borrow();
        let changes = state.encoded.borrow_mut().since(&log, query.registry);
        let mut copies = state.copies.borrow_mut();
        let source =
            copies.on_copy_request(Instant::now(), query.view, changes.len(), query.direct_only);
        match source {
            CopySource::Direct => {
                state.metrics.on_copy_sent(query.registry == 0);
                answer.registry.clone_from(&changes);
            }
            CopySource::Relay(relay) => answer.relay = Some(relay),
            CopySource::Busy => answer.is_busy = true,
        }
    }
    if known.operator > query.operator {
        answer.evacuated = Some(state.evacuated.borrow().iter().cloned().collect());
    }
    if known.operator > query.operator || known.rollouts > query.rollouts {
        answer.rollouts = state.rollouts.controller().records().cloned().collect();
    }
    if known.desired > query.desired
        && let Some(desired) = state.desired.borrow().as_deref()
    {
        answer.desired = encode(desired);
    }
    if query.departures {
        answer.departures = state.servers.borrow().departures();
    }
    answer.lists = state
        .fleet
        .with_regions(|_, regions| regions.lists_since(&query.lists));
    Some(encode(&answer))
}

/// Encodes `value`. If that fails the result is empty, which the receiver can tell from a
/// response.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_else(|error| {
        log::error!(error:%; "can't encode a message for another entry");
        Vec::new()
    })
}

/// Pulls newer state from a lead and applies it.
pub(crate) async fn pull(state: Rc<InstanceState>, target: PullTarget) {
    let begun = Instant::now();
    let mut client = state.fleet.client.take();
    let result = ask(&state, &mut client, &target).await;
    state.fleet.client.replace(client);
    let result = result.and_then(|answers| {
        for answer in &answers {
            apply_answer(&state, begun, &target, answer)?;
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

/// Returns the lead's response, followed by that of the entry to which it refers for a copy of
/// the registry. Falls back to the lead if that entry has no copy.
async fn ask(
    state: &InstanceState,
    client: &mut ViewClient,
    target: &PullTarget,
) -> Result<Vec<ViewAnswer>, ViewError> {
    let answer = client.ask(state, target, false).await?;
    let Some(view) = answer.relay else {
        return Ok(vec![answer]);
    };
    let relay = PullTarget {
        view_address: view,
        scope: target.scope,
    };
    let copy = ViewClient::default().ask(state, &relay, false).await;
    match copy {
        Ok(copy) if !copy.registry.is_empty() => return Ok(vec![answer, copy]),
        Ok(_) => log::info!(relay:% = view; "relay has no copy of the registry"),
        Err(error) => log::info!(relay:% = view, error:%; "relay sent no registry copy"),
    }
    Ok(vec![client.ask(state, target, true).await?])
}

fn apply_answer(
    state: &InstanceState,
    begun: Instant,
    target: &PullTarget,
    answer: &ViewAnswer,
) -> Result<(), ViewError> {
    // The response was created at some time since `begun`. Dating it to now would hide how long
    // this process was stalled before reading it.
    let mut progress = StoreProgress::from_report(begun, &answer.store);
    progress.registry_listed = answer.registry_listed;
    if !answer.desired.is_empty() {
        let desired: DesiredState = postcard::from_bytes(&answer.desired)?;
        state.apply_desired_state(&desired);
    }
    let latest_store_time = match state.fleet.latest_store_time() {
        known if known.is_some() => known,
        _ => answer.latest_store_time,
    };
    for record in &answer.rollouts {
        state.rollouts.on_record(record, latest_store_time, false);
    }
    let is_whole = target.scope == PullScope::All;
    state
        .fleet
        .update_known(|known| known.adopt_rollouts(&progress, is_whole));
    if let Some(evacuated) = &answer.evacuated {
        state.on_peer_operator(&progress, evacuated, is_whole);
    }
    if !answer.registry.is_empty() {
        let delta: RegistryDelta = postcard::from_bytes(&answer.registry)?;
        let is_whole = target.scope.is_whole();
        state.on_peer_servers(target.view_address, &progress, &delta, is_whole);
    }
    if !answer.departures.is_empty() {
        state.on_peer_departures(target.view_address, &answer.departures);
    }
    state
        .fleet
        .on_event(FleetEvent::StoreTime(begun, answer.latest_store_time));
    state
        .fleet
        .update_known(|known| known.confirm_operator(&progress));
    state
        .fleet
        .on_event(FleetEvent::Lists(answer.lists.clone()));
    Ok(())
}

/// Client for other entries' views; keeps the connection to the last one open.
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
        direct_only: bool,
    ) -> Result<ViewAnswer, ViewError> {
        if self.lead != Some(target.view_address) {
            self.lead = Some(target.view_address);
            self.sender = None;
        }
        let known = state.fleet.known();
        let nothing = StorePosition::default();
        let (registry, operator, rollouts) = match target.scope {
            PullScope::Newer | PullScope::Departures => {
                (known.registry, known.operator, known.rollouts)
            }
            PullScope::Registry => (0, known.operator, known.rollouts),
            PullScope::All => (0, nothing, nothing),
        };
        let query = encode(&ViewQuery {
            registry,
            operator,
            rollouts,
            desired: known.desired,
            lists: state.fleet.with_regions(|_, regions| regions.versions()),
            view: state.config.view_address,
            direct_only,
            departures: target.scope == PullScope::Departures,
        });
        let path = format!("{VIEW_PATH}?{}", URL_SAFE_NO_PAD.encode(query));
        let answer_timeout = if known.is_complete() {
            PULL_TIMEOUT
        } else {
            INITIAL_PULL_TIMEOUT
        };
        let fetched = timeout(answer_timeout, self.fetch(target.view_address, &path)).await;
        let fetched = fetched.unwrap_or(Err(ViewError::Timeout));
        if fetched.is_err() {
            self.sender = None;
        }
        Ok(postcard::from_bytes(&fetched?)?)
    }

    async fn fetch(&mut self, lead: SocketAddr, path: &str) -> Result<Bytes, ViewError> {
        let connection_error = |error: hyper::Error| ViewError::Connection(error.to_string());
        let open = self
            .sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed());
        if !open {
            let stream = TcpStream::connect(lead)
                .await
                .map_err(|error| ViewError::Connection(error.to_string()))?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = handshake(TokioIo::new(stream))
                .await
                .map_err(connection_error)?;
            tokio::task::spawn_local(async move {
                if let Err(error) = connection.await {
                    log::debug!(error:%; "connection to another entry failed");
                }
            });
            self.sender = Some(sender);
        }
        let Some(sender) = self.sender.as_mut() else {
            return Err(ViewError::Timeout);
        };
        sender.ready().await.map_err(connection_error)?;
        let request = Request::get(path)
            .header(hyper::header::HOST, "entry")
            .body(Empty::new())
            .map_err(|error| ViewError::Connection(error.to_string()))?;
        let answer = sender
            .send_request(request)
            .await
            .map_err(connection_error)?;
        if answer.status() != StatusCode::OK {
            return Err(ViewError::Connection(format!("status {}", answer.status())));
        }
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| ViewError::Connection(error.to_string()))?;
        Ok(body.to_bytes())
    }
}
