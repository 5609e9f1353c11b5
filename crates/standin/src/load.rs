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
pub struct LoadClass {
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
    pub classes: Vec<LoadClass>,
    /// How long.
    pub duration: Duration,
    /// Put before every request's name.
    pub id_prefix: String,
    /// Seed of arrivals.
    pub seed: u64,
}

/// Makes the load from `callers`, chosen evenly, and gives the ledger.
pub async fn run_load(spec: &LoadSpec, callers: &[Arc<CallerSim>]) -> Vec<LedgerEntry> {
    let mut tasks = JoinSet::new();
    for (index, class) in spec.classes.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed.wrapping_add(index as u64));
        let mut at = Instant::now();
        let end = at + spec.duration;
        let mut count = 0_u64;
        let class = class.clone();
        let id_prefix = spec.id_prefix.clone();
        let callers = callers.to_vec();
        tasks.spawn(async move {
            let mut calls = JoinSet::new();
            loop {
                let gap = -(1.0 - rng.random::<f64>()).ln() / class.rate;
                at += Duration::from_secs_f64(gap);
                if at >= end {
                    break;
                }
                tokio::time::sleep_until(at.into()).await;
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
