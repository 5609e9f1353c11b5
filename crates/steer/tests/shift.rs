//! The shift cap at the level of a whole region: what the instances move together.

use std::time::{Duration, Instant};

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use steer::ShiftLimiter;

const CAP: f64 = 0.10;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(5);
const SEEDS: std::ops::Range<u64> = 1..9;
const GOSSIP: Duration = Duration::from_millis(250);

/// Instances of one region, with every arrival of the whole history.
struct RegionShift {
    limiters: Vec<ShiftLimiter>,
    nodes: Vec<NodeId>,
    history: Vec<(Instant, bool)>,
    rng: ChaCha8Rng,
    now: Instant,
    last_gossip: Instant,
    gossip: bool,
    refused: usize,
}

impl RegionShift {
    fn new(instances: usize, seed: u64) -> Self {
        let now = Instant::now();
        let node = |n| NodeId::new(&InstanceId::new(format!("i{n}")), Incarnation(1));
        Self {
            limiters: vec![ShiftLimiter::new(CAP, WINDOW); instances],
            nodes: (0..instances).map(node).collect(),
            history: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            last_gossip: now,
            gossip: true,
            refused: 0,
        }
    }

    /// Arrivals for `time`: `own` and `foreign` a second, spread by `weights`.
    fn run(&mut self, time: Duration, own: f64, foreign: f64, weights: &[f64]) {
        let other = RegionId::new("south");
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (rate, is_foreign) in [(own, false), (foreign, true)] {
                if self.rng.random::<f64>() >= rate * STEP.as_secs_f64() {
                    continue;
                }
                let instance = self.pick(weights);
                let limiter = &mut self.limiters[instance];
                limiter.arrive(self.now);
                let moved = is_foreign && limiter.try_move(self.now, &other).is_ok();
                self.refused += usize::from(is_foreign && !moved);
                self.history.push((self.now, moved));
            }
            if self.gossip && self.now - self.last_gossip >= GOSSIP {
                self.last_gossip = self.now;
                self.spread();
            }
        }
    }

    fn pick(&mut self, weights: &[f64]) -> usize {
        let mut draw = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            draw -= weight;
            if draw < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }

    fn spread(&mut self) {
        for from in 0..self.limiters.len() {
            let counts = self.limiters[from].previous_counts(self.now);
            for to in 0..self.limiters.len() {
                if to != from {
                    self.limiters[to].on_peer(self.now, &self.nodes[from], &counts);
                }
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        self.limiters[instance] = ShiftLimiter::new(CAP, WINDOW);
    }

    /// Largest rise of the moved share from any window to the one after it.
    fn largest_rise(&self) -> f64 {
        let share = |from: Instant, to: Instant| {
            let inside = |(at, _): &&(Instant, bool)| *at >= from && *at < to;
            let total = self.history.iter().filter(inside).count();
            let moved = self
                .history
                .iter()
                .filter(inside)
                .filter(|(_, moved)| *moved)
                .count();
            if total == 0 {
                0.0
            } else {
                moved as f64 / total as f64
            }
        };
        let first = self.history.first().unwrap().0 + WINDOW;
        let mut largest = 0.0_f64;
        let mut middle = first;
        while middle + WINDOW <= self.now {
            let rise = share(middle, middle + WINDOW) - share(middle - WINDOW, middle);
            largest = largest.max(rise);
            middle += WINDOW / 8;
        }
        largest
    }
}

/// Promise: when another region dies and all its callers come here, no window moves more than the cap.
#[test]
fn shift_cap_holds_when_a_region_dies() {
    for seed in SEEDS {
        let mut region = RegionShift::new(4, seed);
        region.run(WINDOW * 2, 80.0, 0.0, &[1.0; 4]);
        region.run(WINDOW * 6, 80.0, 80.0, &[1.0; 4]);
        let rise = region.largest_rise();
        assert!(rise <= CAP, "rise of {rise}");
        assert!(rise > CAP / 2.0, "the cap is used, not just kept: {rise}");
        // What the cap costs: refusals until the share is reached.
        assert!(region.refused > 0);
    }
}

/// The naive way, as a baseline: without a cap all of it moves in one window.
#[test]
fn without_a_cap_everything_moves_at_once() {
    for seed in SEEDS {
        let mut region = RegionShift::new(4, seed);
        region.limiters = vec![ShiftLimiter::new(100.0, WINDOW); 4];
        region.run(WINDOW * 2, 80.0, 0.0, &[1.0; 4]);
        region.run(WINDOW * 6, 80.0, 80.0, &[1.0; 4]);
        assert!(region.largest_rise() > 3.0 * CAP);
    }
}

/// Promise: callers that move from one instance to another don't break the cap, though
/// each instance's own share is another.
#[test]
fn shift_cap_holds_when_callers_change_instances_mid_shift() {
    for seed in SEEDS {
        let mut region = RegionShift::new(4, seed);
        region.run(WINDOW * 2, 80.0, 0.0, &[1.0; 4]);
        region.run(WINDOW * 2, 80.0, 60.0, &[8.0, 1.0, 1.0, 1.0]);
        region.run(WINDOW * 2, 80.0, 60.0, &[1.0, 8.0, 1.0, 1.0]);
        region.run(WINDOW * 2, 80.0, 60.0, &[1.0, 1.0, 1.0, 8.0]);
        let rise = region.largest_rise();
        assert!(rise <= CAP, "rise of {rise}");
    }
}

/// Promise: instances that are replaced mid-shift go on from where the region is.
#[test]
fn shift_cap_holds_when_instances_are_replaced_mid_shift() {
    for seed in SEEDS {
        let mut region = RegionShift::new(4, seed);
        region.run(WINDOW * 2, 80.0, 0.0, &[1.0; 4]);
        for instance in 0..4 {
            region.run(WINDOW, 80.0, 80.0, &[1.0; 4]);
            region.restart(instance);
        }
        region.run(WINDOW * 2, 80.0, 80.0, &[1.0; 4]);
        let rise = region.largest_rise();
        assert!(rise <= CAP, "rise of {rise}");
    }
}

/// Promise: instances that don't hear each other hold the cap each by its own share.
#[test]
fn shift_cap_holds_without_gossip() {
    for seed in SEEDS {
        let mut region = RegionShift::new(4, seed);
        region.gossip = false;
        region.run(WINDOW * 2, 80.0, 0.0, &[1.0; 4]);
        region.run(WINDOW * 6, 80.0, 80.0, &[1.0; 4]);
        let rise = region.largest_rise();
        assert!(rise <= CAP, "rise of {rise}");
    }
}
