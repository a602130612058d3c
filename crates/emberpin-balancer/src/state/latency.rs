//! Latencies of requests by class and units.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// Unit counts from 1 to this number have separate latencies; larger requests share the last one.
const UNIT_SIZES: usize = 8;
/// Number of answers of one size that weigh as much as the mean of the class.
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
    /// Learns from one answer, with weight `gain`.
    fn learn(&mut self, elapsed: Millis, gain: f64) {
        self.deviation += ((elapsed - self.mean).abs() - self.deviation) * gain;
        self.mean += (elapsed - self.mean) * gain;
    }
}

/// The latencies of one class by the units of its requests. Where units reflect a request's work, the mean of the
/// class alone would make a large request look like a failure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassLatency {
    /// Latency over all requests of the class.
    pub overall: Latency,
    /// Number of answers of the class.
    samples: f64,
    /// For each number of units: the number of answers, and their latency.
    by_units: [(f64, Latency); UNIT_SIZES],
}

impl ClassLatency {
    /// Latencies before any answer: `initial` for every request.
    pub fn new(initial: Latency) -> ClassLatency {
        ClassLatency {
            overall: initial,
            samples: 0.0,
            by_units: [(0.0, initial); UNIT_SIZES],
        }
    }

    fn index(units: f64) -> usize {
        (units.max(1.0).round() as usize).min(UNIT_SIZES) - 1
    }

    /// The expected latency of a request with these units: the more answers of that size there were, the less the
    /// mean of the class counts.
    pub fn expected_for(&self, units: f64) -> Latency {
        let (samples, own) = self.by_units[ClassLatency::index(units)];
        let weight = samples / (samples + SAMPLES_TO_TRUST);
        let blend = |overall: Millis, own: Millis| overall + (own - overall) * weight;
        Latency {
            mean: blend(self.overall.mean, own.mean),
            deviation: blend(self.overall.deviation, own.deviation),
        }
    }

    /// Learns from an answer. `gain` is its weight in the moving averages; the first answers weigh more.
    pub fn learn(&mut self, units: f64, elapsed: Millis, gain: f64) {
        self.samples += 1.0;
        self.overall.learn(elapsed, gain.max(1.0 / self.samples));
        let (samples, own) = &mut self.by_units[ClassLatency::index(units)];
        *samples += 1.0;
        own.learn(elapsed, gain.max(1.0 / *samples));
    }
}
