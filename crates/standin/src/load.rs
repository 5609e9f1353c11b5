//! Open load: requests at a rate, whether or not earlier ones were answered.

use std::sync::Arc;

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::{CallSpec, CallerSim};
use crate::ledger::LedgerEntry;

/// One kind of request in the mix.
#[derive(Debug, Clone)]
pub struct LoadMix {
    /// The service.
    pub service: String,
    /// Whether its requests must not repeat.
    pub at_most_once: bool,
    /// Longest time of a request.
    pub deadline: Duration,
    /// Bytes of a request's body.
    pub body: usize,
    /// Requests a second.
    pub rate: f64,
}

/// A load to make.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// What is asked for.
    pub mix: Vec<LoadMix>,
    /// How long.
    pub time: Duration,
    /// Put before every request's name.
    pub prefix: String,
    /// Seed of arrivals.
    pub seed: u64,
}

/// Makes the load from `callers`, chosen evenly, and gives the ledger.
pub async fn run_load(spec: &LoadSpec, callers: &[Arc<CallerSim>]) -> Vec<LedgerEntry> {
    let mut tasks = JoinSet::new();
    for (index, mix) in spec.mix.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed.wrapping_add(index as u64));
        let mut at = Instant::now();
        let end = at + spec.time;
        let mut count = 0_u64;
        let mix = mix.clone();
        let prefix = spec.prefix.clone();
        let callers = callers.to_vec();
        tasks.spawn(async move {
            let mut calls = JoinSet::new();
            loop {
                let gap = -(1.0 - rng.random::<f64>()).ln() / mix.rate;
                at += Duration::from_secs_f64(gap);
                if at >= end {
                    break;
                }
                tokio::time::sleep_until(at.into()).await;
                let caller = Arc::clone(&callers[rng.random_range(0..callers.len())]);
                let call = CallSpec {
                    id: format!("{prefix}-{}-{count}", mix.service),
                    service: mix.service.clone(),
                    at_most_once: mix.at_most_once,
                    deadline: mix.deadline,
                    body: mix.body,
                };
                count += 1;
                calls.spawn(async move { caller.call(&call).await });
            }
            calls.join_all().await
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}
