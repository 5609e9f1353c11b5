//! Counts the requests at servers that had asked the sender for rest.

use std::collections::HashMap;

use crate::timeline::Micros;

/// Time after which an entry must keep a rest.
const TELL_US: Micros = 500_000;

#[derive(Debug)]
struct AskedRest {
    asked_at: Micros,
    ends_at: Micros,
    requests: u32,
}

/// The rests that servers asked entries for.
#[derive(Debug, Default)]
pub(crate) struct RestCounts {
    /// By entry and server.
    rests: HashMap<(usize, usize), Vec<AskedRest>>,
    /// Largest number of requests within a rest.
    pub(crate) most: u32,
}

impl RestCounts {
    /// Handles that `server` asked `entry` for a rest of `span_us`.
    pub(crate) fn on_asked(
        &mut self,
        now: Micros,
        (entry, server): (usize, usize),
        span_us: Micros,
    ) {
        let rests = self.rests.entry((entry, server)).or_default();
        rests.retain(|rest| rest.ends_at > now);
        rests.push(AskedRest {
            asked_at: now,
            ends_at: now + span_us,
            requests: 0,
        });
    }

    /// Handles a request that `entry` sends to `server`.
    pub(crate) fn on_sent(&mut self, now: Micros, entry: usize, server: usize) {
        for rest in self.rests.get_mut(&(entry, server)).into_iter().flatten() {
            if now < rest.asked_at + TELL_US || now >= rest.ends_at {
                continue;
            }
            rest.requests += 1;
            self.most = self.most.max(rest.requests);
        }
    }
}
