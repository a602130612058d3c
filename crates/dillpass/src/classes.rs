//! Classes that become known while a gateway runs: hosts whose settings name none of them before. No decision is taken
//! here.

use crate::interface::{Class, ClassId};
use crate::state::{Latencies, Latency};
use crate::Gateway;

impl Gateway {
    /// By their own word the servers bear so many attempts of this gateway at a time, its part of what they say; 0 where
    /// they say nothing. It stands for the least onset, in place of a figure for each server.
    pub fn bear(&mut self, out: f64) {
        self.load.borne = out;
    }

    /// Adds a class; requests may have it from now on. Nothing is known yet of how long its work takes.
    pub fn add_class(&mut self, class: Class) -> ClassId {
        self.aim = self.aim.min(class.aim);
        self.latency.push(Latencies::new(Latency { mean: class.aim * 0.25, deviation: class.aim * 0.1 }));
        self.settings.classes.push(class);
        ClassId(self.settings.classes.len() - 1)
    }
}
