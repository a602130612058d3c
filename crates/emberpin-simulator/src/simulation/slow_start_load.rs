//! Load on warming servers: proxies send as many requests as slow start admits, and the servers' limit is checked.

use super::Simulation;
use crate::state::event::Event;
use crate::state::server::Server;
use crate::violation::Violation;
use emberpin_routing::Availability;
use std::time::Duration;

/// How often proxies send requests to warming servers.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of requests from one proxy to one server at a time.
const MAX_REQUESTS_AT_ONCE: usize = 4;
/// Maximum number of requests that a warming server may get in a second: the services' `warmup_per_s` of 10 times the
/// proxies' tolerated excess factor, plus the tolerated extra requests.
const WARMUP_LIMIT: usize = 20;
/// The time span of [`WARMUP_LIMIT`].
const LIMIT_SPAN: Duration = Duration::from_secs(1);

impl Simulation {
    /// Makes proxies send requests to warming servers from now on.
    pub(super) fn begin_slow_start_load(&mut self) {
        if !self.is_slow_start_load_scheduled {
            self.is_slow_start_load_scheduled = true;
            self.schedule(self.now, Event::SlowStartLoad);
        }
    }

    pub(super) fn send_slow_start_load(&mut self) {
        let now = self.now;
        let is_warming_up = |server: &Server| server.is_up && now < server.warmup_until;
        let warming: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, server)| is_warming_up(server))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &warming {
            let requests = self.send_requests(name);
            self.counters.slow_start_requests += requests;
            if let Err(violation) = self.count_requests(name, requests) {
                return self.fail(violation);
            }
        }
        self.is_slow_start_load_scheduled = !warming.is_empty();
        if self.is_slow_start_load_scheduled {
            self.schedule(now + LOAD_INTERVAL, Event::SlowStartLoad);
        }
    }

    /// Sends the admitted requests of all proxies to a server. Returns their number.
    fn send_requests(&mut self, name: &str) -> usize {
        let now = self.now;
        let Some(server) = self.servers.get(name) else {
            return 0;
        };
        let (id, service) = (&server.instance_id, &server.service);
        let mut requests = 0;
        for node in self.proxies.values_mut() {
            let local = node.process.local_time(now);
            let Some(running) = node.running.as_mut().filter(|_| !node.process.is_frozen) else {
                continue;
            };
            for _ in 0..MAX_REQUESTS_AT_ONCE {
                let is_available = running.availability(id) == Availability::Available;
                if !is_available || !running.router.slow_start_admits(service, id, local) {
                    break;
                }
                running.router.record_send(local, id);
                requests += 1;
            }
        }
        requests
    }

    /// Records requests to a server, and checks that it got no more in the last second than its limit.
    fn count_requests(&mut self, name: &str, requests: usize) -> Result<(), Violation> {
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return Ok(());
        };
        let recent = &mut server.recent_requests;
        recent.extend(std::iter::repeat_n(now, requests));
        while recent.front().is_some_and(|at| *at + LIMIT_SPAN <= now) {
            recent.pop_front();
        }
        if recent.len() <= WARMUP_LIMIT {
            return Ok(());
        }
        Err(Violation::SlowStartExceeded {
            instance_id: server.instance_id.clone(),
            requests: recent.len(),
            limit: WARMUP_LIMIT,
        })
    }
}
