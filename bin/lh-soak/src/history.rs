//! Recorded events of a run, with times since its start. The judge needs nothing else.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::error::Result;

base::common! {
    /// An event of a run.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum RunEvent {
        /// The store acknowledged that the server is leaving, or deleted its row.
        Left {
            /// The server.
            server: String,
        },
        /// An earlier heartbeat of a departed server was written to the store late.
        LateHeartbeat {
            /// The server.
            server: String,
        },
        /// A server received a request and executes it.
        Arrived {
            /// The server.
            server: String,
            /// The entry that sent it.
            entry: usize,
            /// Id of the request.
            request: String,
        },
        /// A server names a rate limit from now on, or no longer names one.
        Limit {
            /// The server.
            server: String,
            /// The limit in thousandths of a request per second.
            milli: Option<u32>,
        },
        /// A server made a statement on itself in the response to a request.
        Stated {
            /// The server.
            server: String,
            /// Id of the request.
            request: String,
            /// The statement.
            statement: Statement,
        },
        /// A server turned a request away and asked its entry for rest.
        TurnedAway {
            /// The server.
            server: String,
            /// The entry that sent the request.
            entry: usize,
            /// The rest in milliseconds.
            rest_ms: u64,
        },
        /// An entry logged a change of a server.
        Line {
            /// The entry.
            entry: usize,
            /// Run number of the entry's process.
            run: u32,
            /// The server.
            server: String,
            /// The change.
            change: ServerChange,
        },
        /// The process of an entry was started.
        Started {
            /// The entry.
            entry: usize,
            /// Run number of the entry's process.
            run: u32,
        },
        /// The process of an entry has ended.
        Ended {
            /// The entry.
            entry: usize,
        },
        /// A fault began.
        Fault {
            /// Name of the fault.
            name: String,
            /// The affected entry; `None` for faults of the store.
            entry: Option<usize>,
        },
        /// A fault ended.
        Calm {
            /// The affected entry; `None` for faults of the store.
            entry: Option<usize>,
        },
        /// The store acknowledged the desired state of this step.
        Desired {
            /// Number of the desired state, from 1.
            step: u64,
        },
        /// The store acknowledged the evacuation of a failure domain, or it is about to end.
        Evacuation {
            /// The failure domain.
            domain: String,
            /// Whether it is evacuated.
            is_evacuated: bool,
        },
        /// The store acknowledged the order to roll out a version.
        Ordered {
            /// Number of the version.
            version: u64,
            /// Whether it is bad.
            is_bad: bool,
            /// Duration of the rollout in milliseconds.
            duration_ms: u64,
        },
        /// The operator read a new state of a rollout.
        RolloutState {
            /// Number of the version.
            version: u64,
            /// The state.
            state: String,
        },
        /// A server of a bad version responded with a failure.
        BadResponse {
            /// The server.
            server: String,
        },
        /// A caller is about to send a request that probes the desired state or a rollout.
        Sent {
            /// Id of the request.
            request: String,
        },
        /// A series of requests on one connection ended.
        Pipelined {
            /// The entry.
            entry: usize,
            /// Ids of the requests, in the order in which they were sent.
            sent: Vec<String>,
            /// Ids in the responses, in the order in which they arrived.
            answered: Vec<String>,
        },
        /// All entries and servers lost power, or the last of them is back.
        Power {
            /// Whether all of them are back.
            is_back: bool,
        },
        /// A cold server got more requests than it bears, and ended.
        Crashed {
            /// The server.
            server: String,
        },
        /// A caller got no connection for a request.
        Unconnected {
            /// Id of the request.
            request: String,
        },
        /// The tasks of the soak process itself were delayed.
        Lag {
            /// Delay in milliseconds.
            ms: u64,
        },
        /// A caller's request ended.
        Answered {
            /// Id of the request.
            request: String,
            /// Status code; 0 if no complete response was received.
            status: u16,
            /// Body of the response.
            body: String,
        },
    }

    /// What a server says of itself in a response.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Statement {
        /// It has a rate limit.
        Limited,
        /// It is leaving.
        Leaving,
    }

    /// A change of a server that an entry logged.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServerChange {
        /// The server takes requests from now on.
        Joined,
        /// The server is leaving or gone.
        Left,
    }

    /// An event with its time.
    #[derive(Eq)]
    pub struct TimedEvent {
        /// Milliseconds since the start of the run.
        pub at: u64,
        /// The event.
        pub event: RunEvent,
    }

    /// All events of a run, ordered by time.
    pub struct RunHistory {
        /// Seed of the run.
        pub seed: u64,
        /// The events, ordered by time.
        pub events: Vec<TimedEvent>,
    }
}

impl RunHistory {
    /// Reads a saved history.
    ///
    /// # Errors
    /// If the file can't be read or is not a history.
    pub fn read(path: &Path) -> Result<Self> {
        Ok(serde_json::from_slice(&fs::read(path)?)?)
    }

    /// Writes the history to the file `path`.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        Ok(fs::write(path, serde_json::to_vec(self)?)?)
    }
}

/// Records the events of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunRecorder {
    started: Instant,
    /// Wall-clock time of `started`, to place log lines of the entries.
    started_at: SystemTime,
    events: Arc<Mutex<Vec<TimedEvent>>>,
}

impl RunRecorder {
    /// Creates a recorder for a run that starts now.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            started_at: SystemTime::now(),
            events: Arc::default(),
        }
    }

    /// Records `event` with the current time.
    pub(crate) fn record(&self, event: RunEvent) {
        let mut events = self.lock();
        let at = millis(self.started.elapsed());
        events.push(TimedEvent { at, event });
    }

    /// Records `event` with the time `time_ms`, in Unix milliseconds. The time of reading a log
    /// line is no substitute: the output of a process that is starved of CPU time arrives seconds
    /// late.
    pub(crate) fn record_at(&self, time_ms: u64, event: RunEvent) {
        let started = self.started_at.duration_since(UNIX_EPOCH);
        let at = time_ms.saturating_sub(millis(started.unwrap_or_default()));
        self.lock().push(TimedEvent { at, event });
    }

    /// Returns the events recorded so far, sorted by time.
    pub(crate) fn history(&self, seed: u64) -> RunHistory {
        let mut events = self.lock().clone();
        events.sort_by_key(|event| event.at);
        RunHistory { seed, events }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TimedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
