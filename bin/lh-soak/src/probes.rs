//! Requests that show which desired state an entry applies, and their callers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use tokio::time::sleep;

use crate::callers::{self, CallerConnection, RequestDraft};
use crate::history::{RunEvent, RunRecorder};
use crate::operator::DesiredStep;

/// Interval between two probes at an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(110);

/// What a request probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    /// Whether the route of this step of the desired state is served.
    Route(u64),
    /// Whether the key that this step brought is accepted.
    Key(u64),
    /// Whether a route with a home region is served there.
    Home,
    /// Whether the quota of a team is kept.
    Quota,
}

impl Probe {
    /// Id of the probe number `number` that is sent to the entry number `entry`.
    pub(crate) fn request_id(self, entry: usize, number: u64) -> String {
        let text = match self {
            Self::Route(step) => format!("route{step}"),
            Self::Key(step) => format!("key{step}"),
            Self::Home => "home".to_owned(),
            Self::Quota => "quota".to_owned(),
        };
        format!("{entry}-probe-{number}-{text}")
    }

    /// Parses the id of a request; `None` if it isn't a probe.
    pub(crate) fn of_request(id: &str) -> Option<Self> {
        let (_, probe) = id.split_once("-probe-")?;
        let (_, text) = probe.split_once('-')?;
        match text {
            "home" => Some(Self::Home),
            "quota" => Some(Self::Quota),
            _ => {
                let step = |name| text.strip_prefix(name)?.parse().ok();
                step("route")
                    .map(Self::Route)
                    .or(step("key").map(Self::Key))
            }
        }
    }

    /// Path of the probe, and the key that it presents.
    fn target(self) -> (String, Option<String>) {
        match self {
            Self::Route(step) => (format!("/step-{step}/x"), None),
            Self::Key(step) => ("/keyed/x".to_owned(), Some(key_of(step))),
            Self::Home => ("/home/x".to_owned(), None),
            Self::Quota => ("/keyed/x".to_owned(), Some(QUOTA_KEY.to_owned())),
        }
    }
}

/// Key of the team with a quota.
pub(crate) const QUOTA_KEY: &str = "quota-key";

/// The key that `step` of the desired state brings.
pub(crate) fn key_of(step: u64) -> String {
    format!("key-of-step-{step}")
}

/// Sends probes to the entry number `entry` until the task is aborted: for the newest step, the
/// one before, and the one that was dropped last.
pub(crate) async fn run_prober(
    entry: usize,
    address: SocketAddr,
    step: DesiredStep,
    recorder: RunRecorder,
) {
    let mut connection = CallerConnection::new(address);
    for number in 0_u64.. {
        sleep(PROBE_INTERVAL).await;
        let newest = step.get();
        let dropped = newest.saturating_sub(2);
        let probe = match number % 6 {
            0 => Probe::Route(newest),
            1 => Probe::Key(newest),
            2 => Probe::Key(dropped),
            3 => Probe::Home,
            4 => Probe::Route(dropped),
            _ => Probe::Quota,
        };
        let id = probe.request_id(entry, number);
        let (path, key) = probe.target();
        let draft = RequestDraft {
            method: Method::GET,
            path: &path,
            id: &id,
            object: number,
            key: key.as_deref(),
        };
        let request = id.clone();
        recorder.record(RunEvent::Sent { request });
        recorder.record(match connection.exchange(draft).await {
            Some((status, body)) => callers::answered(id, status, body),
            None => RunEvent::Unconnected { request: id },
        });
    }
}
