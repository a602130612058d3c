//! The periodic tick: moving averages, the learned throughput of warm servers, outgoing gossip, and expiry
//! of unused state.

use super::{quotas, Action, Gateway, Millis, PEAK_WINDOW, THROUGHPUT_WINDOW, TICK_TOKEN};

/// Time after which the state of an idle customer is dropped; at least twice the time in which its quota
/// refills.
pub(super) const IDLE_TIMEOUT: Millis = 60_000.0;
/// Time after an isolation for which peers may still announce units that they admitted during it.
const CATCH_UP_TIME: Millis = 1_000.0;
/// Time scale on which the learned throughput of a warm server changes: in each tick it may rise or fall at
/// most by the tick's share of this time, relative to its value.
const WARM_THROUGHPUT_WINDOW: Millis = 20_000.0;

impl Gateway {
    /// Handles the expiry of the timer and sets it again.
    pub(super) fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            delay: self.gossip_period(),
            token: TICK_TOKEN,
        });
        let span = (now - self.ticked_at).max(1.0);
        self.ticked_at = now;
        let throughput = self.learn_throughput(now, span);
        self.learn_warm_throughput(now, span, throughput);
        self.adapt_rate_multiple(now, span);
        if !self.gossips_to_all() && !self.is_isolated(now) {
            // A gateway of a large group has outcomes too rarely for the level to fall by outcomes alone.
            self.check_congestion(now, actions);
        }
        self.send_gossip(now, actions);
        self.expire_state(now);
    }

    /// Averages this gateway's throughput and attempts in flight over `span`, the milliseconds since the
    /// last tick. Returns the mean throughput of the gateways in answers per second.
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

    /// Learns the throughput of a warm server, from warm servers alone. If servers that are warming up
    /// counted with their full capacity although their load is limited, the value would fall, which would
    /// lower their limit and thereby the value again. Answers of removed servers are not attributed to the
    /// remaining ones. The value falls slowly: when other servers take over some of the load, warm servers
    /// can still serve as much as before.
    fn learn_warm_throughput(&mut self, now: Millis, span: Millis, throughput: f64) {
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
        let previous = self.load.warm_throughput;
        let measured = throughput * self.load.warm_share * self.group_size() / warm_capacity;
        let increase = (measured - previous).min(previous.max(1.0)) * span / WARM_THROUGHPUT_WINDOW;
        let lower_bound = previous * (1.0 - span / WARM_THROUGHPUT_WINDOW).max(0.0);
        let just_started = now - self.started_at < PEAK_WINDOW;
        self.load.warm_throughput = if just_started {
            measured
        } else {
            measured.min(previous + increase.max(0.0)).max(lower_bound)
        };
    }

    /// Drops state that is no longer needed, so that no table grows without bound.
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
