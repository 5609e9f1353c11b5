//! Divides a route's requests among services by weight.
//!
//! Uses smooth weighted round robin: every prefix of the sequence is as close to the weights as
//! whole requests allow, so that the shares hold within seconds and not only on average.

use std::collections::HashMap;

use crate::desired::RouteSpec;

/// Current weights of each split route.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    credits: HashMap<String, Vec<i64>>,
}

impl TrafficSplitter {
    /// The index of the part that takes the next request of `route`.
    pub fn choose(&mut self, route: &RouteSpec) -> usize {
        if route.parts.len() < 2 {
            return 0;
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != route.parts.len() {
            *credits = vec![0; route.parts.len()];
        }
        let total: i64 = route.parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += i64::from(part.weight);
        }
        let mut best = 0;
        for (index, credit) in credits.iter().enumerate() {
            if *credit > credits[best] {
                best = index;
            }
        }
        credits[best] -= total;
        best
    }
}
