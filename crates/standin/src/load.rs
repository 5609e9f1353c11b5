//! Open-loop load generator: requests arrive at a fixed mean rate, regardless of responses.

use std::sync::Arc;

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::{CallSpec, CallerSim};
use crate::ledger::LedgerEntry;

/// A class of requests.
#[derive(Debug, Clone)]
pub struct LoadClass {
    /// Service to call.
    pub service: String,
    /// Whether the requests must be executed at most once.
    pub at_most_once: bool,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Size of the request body in bytes.
    pub body: usize,
    /// Mean number of requests per second.
    pub rate: f64,
}

/// A load to generate.
#[derive(Debug, Clone)]
pub struct LoadSpec {
    /// Classes of requests, generated concurrently.
    pub classes: Vec<LoadClass>,
    /// Duration of the load.
    pub duration: Duration,
    /// Prefix of the request ids.
    pub id_prefix: String,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Generates the load from `callers`, chosen uniformly at random, and returns the ledger.
pub async fn run_load(spec: &LoadSpec, callers: &[Arc<CallerSim>]) -> Vec<LedgerEntry> {
    let mut tasks = JoinSet::new();
    for (index, class) in spec.classes.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed.wrapping_add(index as u64));
        let mut arrival = Instant::now();
        let end = arrival + spec.duration;
        let mut count = 0_u64;
        let class = class.clone();
        let id_prefix = spec.id_prefix.clone();
        let callers = callers.to_vec();
        tasks.spawn(async move {
            let mut calls = JoinSet::new();
            loop {
                let interval = -(1.0 - rng.random::<f64>()).ln() / class.rate;
                arrival += Duration::from_secs_f64(interval);
                if arrival >= end {
                    break;
                }
                tokio::time::sleep_until(arrival.into()).await;
                let caller = Arc::clone(&callers[rng.random_range(0..callers.len())]);
                let call = CallSpec {
                    id: format!("{id_prefix}-{}-{count}", class.service),
                    service: class.service.clone(),
                    at_most_once: class.at_most_once,
                    deadline: class.deadline,
                    body: class.body,
                };
                count += 1;
                calls.spawn(async move { caller.call(&call).await });
            }
            calls.join_all().await
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}
