//! Everything that a run's judge needs, with times since its start.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::error::Result;

base::common! {
    /// What happened.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum RunEvent {
        /// The store acknowledged that the server is leaving or dropped its row.
        Left {
            /// The server.
            server: String,
        },
        /// An older word of a server that has left was written to the store.
        LateWord {
            /// The server.
            server: String,
        },
        /// A request reached a server, which runs it.
        Arrived {
            /// The server.
            server: String,
            /// The entry that sent it.
            entry: usize,
            /// The request.
            request: String,
        },
        /// An entry wrote a line on a server.
        Line {
            /// The entry.
            entry: usize,
            /// The entry's run.
            run: u32,
            /// The server.
            server: String,
            /// What became of it.
            change: ServerChange,
        },
        /// A process of an entry was started.
        Started {
            /// The entry.
            entry: usize,
            /// The entry's run.
            run: u32,
        },
        /// The process of an entry has ended.
        Ended {
            /// The entry.
            entry: usize,
        },
        /// A fault began or was renewed.
        Fault {
            /// What it is.
            name: String,
            /// The entry that it concerns; none where it is the store's.
            entry: Option<usize>,
        },
        /// A fault ended.
        Calm {
            /// The entry that it concerned; none where it was the store's.
            entry: Option<usize>,
        },
        /// The run's own threads were late by so many milliseconds.
        Lag {
            /// Milliseconds.
            ms: u64,
        },
        /// A caller has got an answer.
        Answered {
            /// The request.
            request: String,
            /// The status; 0 where no whole answer came.
            status: u16,
            /// The answer's body.
            body: String,
        },
    }

    /// What an entry wrote of a server.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServerChange {
        /// It takes requests from now on.
        Joined,
        /// It leaves or is gone.
        Left,
    }

    /// An event and when it happened.
    #[derive(Eq)]
    pub struct TimedEvent {
        /// Milliseconds since the start of the run.
        pub at: u64,
        /// What happened.
        pub event: RunEvent,
    }

    /// What happened in a run, in the order of time.
    pub struct RunHistory {
        /// Seed of the faults.
        pub seed: u64,
        /// What happened.
        pub events: Vec<TimedEvent>,
    }
}

impl RunHistory {
    /// Reads a history that was kept.
    ///
    /// # Errors
    /// Where the file can't be read or isn't a history.
    pub fn read(path: &Path) -> Result<Self> {
        Ok(serde_json::from_slice(&fs::read(path)?)?)
    }

    /// Keeps the history in the file `path`.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn write(&self, path: &Path) -> Result<()> {
        Ok(fs::write(path, serde_json::to_vec(self)?)?)
    }
}

/// Takes down the events of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunRecorder {
    started: Instant,
    /// The same by the time of day.
    started_at: SystemTime,
    events: Arc<Mutex<Vec<TimedEvent>>>,
}

impl RunRecorder {
    /// A recorder of a run that begins now.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            started_at: SystemTime::now(),
            events: Arc::default(),
        }
    }

    /// Takes down `event`, which happens now.
    pub(crate) fn record(&self, event: RunEvent) {
        let mut events = self.lock();
        let at = millis(self.started.elapsed());
        events.push(TimedEvent { at, event });
    }

    /// Takes down `event`, which happened at `time_ms`, in Unix milliseconds. Lines of a process
    /// that gets little processor time are read seconds later.
    pub(crate) fn record_at(&self, time_ms: u64, event: RunEvent) {
        let started = self.started_at.duration_since(UNIX_EPOCH);
        let at = time_ms.saturating_sub(millis(started.unwrap_or_default()));
        self.lock().push(TimedEvent { at, event });
    }

    /// The history so far.
    pub(crate) fn history(&self, seed: u64) -> RunHistory {
        let mut events = self.lock().clone();
        events.sort_by_key(|event| event.at);
        RunHistory { seed, events }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TimedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
