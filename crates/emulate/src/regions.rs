//! Counts per window in which region the requests of each region ran.

use crate::report::WINDOW;

/// Request counts by the caller's region, window and server's region.
#[derive(Debug)]
pub(crate) struct RegionCounts {
    counts: Vec<Vec<Vec<u32>>>,
}

impl RegionCounts {
    pub(crate) fn new(regions: usize) -> Self {
        Self {
            counts: vec![Vec::new(); regions],
        }
    }

    /// Records that a request from `region` was sent to a server in `server_region`, `at`
    /// seconds from the start.
    pub(crate) fn on_sent(&mut self, at: f64, region: usize, server_region: usize) {
        let window = (at / WINDOW) as usize;
        let regions = self.counts.len();
        let counts = &mut self.counts[region];
        if counts.len() <= window {
            counts.resize(window + 1, vec![0; regions]);
        }
        counts[window][server_region] += 1;
    }

    /// The largest share of a region's requests that moved to other regions between two
    /// consecutive windows. Only the windows of the first `seconds` count, while there is
    /// load: afterwards only a few retries remain.
    pub(crate) fn largest_shift(&self, seconds: f64) -> f64 {
        let last = (seconds / WINDOW) as usize;
        let mut largest: f64 = 0.0;
        for windows in &self.counts {
            let windows = &windows[..windows.len().min(last)];
            for pair in windows.windows(2) {
                let (before, after) = (shares(&pair[0]), shares(&pair[1]));
                let moved = before.iter().zip(&after);
                let moved: f64 = moved.map(|(old, new)| (new - old).abs() / 2.0).sum();
                largest = largest.max(moved);
            }
        }
        largest
    }
}

fn shares(counts: &[u32]) -> Vec<f64> {
    let total = counts.iter().sum::<u32>().max(1);
    counts
        .iter()
        .map(|count| f64::from(*count) / f64::from(total))
        .collect()
}
