//! Latencies of requests, by class and units.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// Units from 1 up to this number have a latency of their own; larger requests share the last.
const UNIT_SIZES: usize = 8;
/// Answers of one size that weigh as much as all that is known of the class.
const SAMPLES_TO_TRUST: f64 = 4.0;

/// Mean and mean deviation of a latency over all servers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Latency {
    /// The mean in milliseconds.
    pub mean: Millis,
    /// The mean absolute deviation from it in milliseconds.
    pub deviation: Millis,
}

impl Latency {
    fn learn(&mut self, elapsed: Millis, gain: f64) {
        self.deviation += ((elapsed - self.mean).abs() - self.deviation) * gain;
        self.mean += (elapsed - self.mean) * gain;
    }
}

/// The latencies of one class, by the units of its requests. Where units stand for the work of a request, a large one
/// would look like a failure, of its server or its own, to a gateway that knew only the mean of the class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassLatency {
    /// Of all requests of the class.
    pub overall: Latency,
    samples: f64,
    /// For each number of units: how many answers were seen, and their latency.
    by_units: [(f64, Latency); UNIT_SIZES],
}

impl ClassLatency {
    /// Latencies before any answer: `first` for every request.
    pub fn new(first: Latency) -> ClassLatency {
        ClassLatency {
            overall: first,
            samples: 0.0,
            by_units: [(0.0, first); UNIT_SIZES],
        }
    }

    fn index(units: f64) -> usize {
        (units.max(1.0).round() as usize).min(UNIT_SIZES) - 1
    }

    /// The expected latency of a request by its units: the more answers of that size were seen, the less the mean of
    /// the class counts.
    pub fn of(&self, units: f64) -> Latency {
        let (samples, own) = self.by_units[ClassLatency::index(units)];
        let weight = samples / (samples + SAMPLES_TO_TRUST);
        let blend = |overall: Millis, own: Millis| overall + (own - overall) * weight;
        Latency {
            mean: blend(self.overall.mean, own.mean),
            deviation: blend(self.overall.deviation, own.deviation),
        }
    }

    /// Learns from an answer, which counts for the share `gain` of the averages, and for more among the first ones.
    pub fn learn(&mut self, units: f64, elapsed: Millis, gain: f64) {
        self.samples += 1.0;
        self.overall.learn(elapsed, gain.max(1.0 / self.samples));
        let (samples, own) = &mut self.by_units[ClassLatency::index(units)];
        *samples += 1.0;
        own.learn(elapsed, gain.max(1.0 / *samples));
    }
}
