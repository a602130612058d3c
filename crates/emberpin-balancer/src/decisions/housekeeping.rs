//! The tick: averages, what warm servers carry, gossip, and what may be forgotten.

use super::{quotas, Action, Gateway, Millis, PEAK_WINDOW, THROUGHPUT_WINDOW, TICK_TOKEN};

/// The state of an idle customer is dropped after this time, or twice that in which its quota refills.
pub(super) const IDLE_TIMEOUT: Millis = 60_000.0;
/// For this time after an isolation peers may still announce what they admitted during it.
const CATCH_UP_TIME: Millis = 1_000.0;
/// Time in which what a warm server is held to carry may double, or fall to nothing.
const CAPACITY_WINDOW: Millis = 20_000.0;

impl Gateway {
    /// The timer expired.
    pub(super) fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            delay: self.gossip_period(),
            token: TICK_TOKEN,
        });
        let span = (now - self.ticked_at).max(1.0);
        self.ticked_at = now;
        let throughput = self.learn_throughput(now, span);
        self.learn_warm_capacity(now, span, throughput);
        self.adapt_cold_multiple(now, span);
        if !self.gossips_to_all() && !self.is_isolated(now) {
            // One gateway of many has an outcome too seldom to step down by outcomes alone.
            self.check_congestion(now, actions);
        }
        self.send_gossip(now, actions);
        self.expire_state(now);
    }

    /// Averages this gateway's throughput and attempts in flight over the span since the last tick. Returns
    /// the mean throughput of the gateways.
    fn learn_throughput(&mut self, now: Millis, span: Millis) -> f64 {
        let gain = (span / THROUGHPUT_WINDOW.min(now - self.started_at)).clamp(0.0, 1.0);
        let measured = self.load.answered * 1000.0 / span;
        self.load.throughput += (measured - self.load.throughput) * gain;
        self.load.answered = 0.0;
        let smoothing = (span / self.smoothing_time(now)).min(1.0);
        self.load.in_flight += (self.counted_in_flight(now) - self.load.in_flight) * smoothing;
        let mean = self.group_mean(now, self.load.throughput, self.load.peers_throughput);
        let decayed = self.load.peak_throughput * (1.0 - (span / PEAK_WINDOW).min(1.0));
        self.load.peak_throughput = decayed.max(mean);
        mean
    }

    /// Learns what a warm server carries, from warm servers alone: were those that warm up counted as if
    /// they carried their part, though they are held back, the figure would fall, with it what they are
    /// allowed, and so on. Answers of servers that left are not put down to those that stay. The figure
    /// falls slowly: that less is asked of warm servers than a moment ago, as others come to their help,
    /// does not make them able to carry less.
    fn learn_warm_capacity(&mut self, now: Millis, span: Millis, throughput: f64) {
        let warm_capacity = self
            .servers
            .values()
            .filter(|server| self.accepts_requests(server))
            .filter(|server| self.is_warm(now, &server.info))
            .map(|server| server.info.capacity.max(0.01))
            .sum::<f64>();
        if warm_capacity <= 0.0 {
            return;
        }
        let known = self.load.warm_capacity;
        let measured = throughput * self.load.warm_share * self.group_size() / warm_capacity;
        let rise = (measured - known).min(known.max(1.0)) * span / CAPACITY_WINDOW;
        let fallen = known * (1.0 - span / CAPACITY_WINDOW).max(0.0);
        let just_started = now - self.started_at < PEAK_WINDOW;
        self.load.warm_capacity = if just_started {
            measured
        } else {
            measured.min(known + rise.max(0.0)).max(fallen)
        };
    }

    /// Drops what is no longer of use, so that no table grows without bound.
    fn expire_state(&mut self, now: Millis) {
        let caught_up = !self.is_isolated(now) && now - self.rejoined_at > CATCH_UP_TIME;
        let plans = &self.settings.plans;
        self.customers.retain(|_, customer| {
            customer.withheld *= f64::from(u8::from(!caught_up));
            let plan = &plans[customer.plan];
            let refill_time = plan.quota_burst * 1000.0 / plan.quota_rate.max(0.001);
            let idle_timeout = IDLE_TIMEOUT.max(2.0 * refill_time);
            customer.in_flight > 0 || now - customer.used_at < idle_timeout
        });
        let slow_start = self.settings.slow_start.duration;
        self.returned_at.retain(|_, at| now - *at < slow_start);
        let customers = &self.customers;
        self.owned.retain(|id| customers.contains_key(id));
        self.unannounced.retain(|id| customers.contains_key(id));
        self.advice.retain(|id, advice| {
            now - advice.received_at < quotas::ADVICE_VALIDITY || customers.contains_key(id)
        });
    }
}
