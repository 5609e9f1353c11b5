//! Checks that entries leave servers alone that ask them for rest.

use std::collections::HashMap;

/// Time from a response that asks for rest until its entry must keep it, in milliseconds.
const TELL_MS: u64 = 500;
/// Requests that a server tolerates from an entry within a rest.
const TOLERATED: usize = 2;

#[derive(Debug)]
struct AskedRest {
    asked_at: u64,
    ends_at: u64,
    requests: usize,
}

/// The rests that servers asked entries for.
#[derive(Debug, Default)]
pub(crate) struct RestJudge {
    /// By entry, run of its process, and server.
    rests: HashMap<(usize, u32, String), Vec<AskedRest>>,
}

impl RestJudge {
    /// Handles that `server` asked the run `run` of `entry` for rest.
    pub(crate) fn on_asked(
        &mut self,
        at: u64,
        (entry, run): (usize, u32),
        server: &str,
        rest_ms: u64,
    ) {
        let rests = self
            .rests
            .entry((entry, run, server.to_owned()))
            .or_default();
        rests.retain(|rest| rest.ends_at > at);
        rests.push(AskedRest {
            asked_at: at,
            ends_at: at + rest_ms,
            requests: 0,
        });
    }

    /// Forgets what `entry` was asked for: it was faulty.
    pub(crate) fn excuse(&mut self, entry: usize) {
        self.rests.retain(|(known, _, _), _| *known != entry);
    }

    /// Handles a request from the run `run` of `entry` that reached `server`. Returns a
    /// violation. `lag_ms` is the delay of the soak process.
    pub(crate) fn on_reached(
        &mut self,
        at: u64,
        (entry, run): (usize, u32),
        server: &str,
        lag_ms: u64,
    ) -> Option<String> {
        let rests = self.rests.get_mut(&(entry, run, server.to_owned()))?;
        let mut violation = None;
        for rest in rests {
            if at < rest.asked_at + TELL_MS + lag_ms || at + lag_ms >= rest.ends_at {
                continue;
            }
            rest.requests += 1;
            if rest.requests == TOLERATED + 1 {
                violation = Some(format!(
                    "rest: {server} got {} requests until {at} ms from entry {entry}, which it \
                     had asked for rest from {} to {} ms",
                    rest.requests, rest.asked_at, rest.ends_at
                ));
            }
        }
        violation
    }
}
