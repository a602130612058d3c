//! Operator calls in a dense scenario.

use super::super::{ROUTE_COUNT, SERVICE_COUNT, ZONES};
use super::{DenseScenario, RouteVersion, SentCall};

/// The pause after calls about an evacuation. The zone's servers get no requests and may begin to warm up meanwhile.
const EVACUATION_PAUSE_MS: u64 = 200;
/// A reused version is chosen from this many of the latest ones.
const REUSE_WINDOW: usize = 30;

impl DenseScenario {
    fn choose_target(&mut self) -> String {
        match self.draw_below(6) {
            0 | 1 => String::new(),
            2 => format!("only core-{} ", self.choose_core()),
            _ => format!("via core-{} ", self.choose_core()),
        }
    }

    /// Records a new call, and returns the name of its operator. Each call has an operator of its own.
    pub(super) fn next_operator(&mut self, route: Option<RouteVersion>) -> String {
        self.calls += 1;
        let operator = format!("c{}", self.calls);
        self.sent_calls.push(SentCall {
            operator: operator.clone(),
            route,
        });
        operator
    }

    pub(super) fn next_version(&mut self) -> u64 {
        self.last_version += 1 + self.draw_below(3);
        self.last_version
    }

    pub(super) fn add_operator_call(&mut self) {
        match self.draw_below(100) {
            0..35 => self.change_route(),
            35..50 => self.race(),
            50..68 => self.repeat_call(),
            68..76 => self.drop_item(),
            76..82 => self.reuse_version(),
            82..86 => self.send_invalid_patch(),
            86..93 => self.evacuate(),
            _ => self.read(),
        }
    }

    fn set_route(&mut self, route: u64, version: u64) {
        let (operator, target, service) = (
            self.next_operator(Some(RouteVersion { route, version })),
            self.choose_target(),
            self.draw_below(SERVICE_COUNT),
        );
        let timeout = 1_000 + self.draw_below(1_000);
        self.add_step(format!(
            "operator {operator} patch {target}svc=a{service} route=r{route}:h{route}/p/:a{service} ver={version} \
             timeout={timeout}ms"
        ));
    }

    fn change_route(&mut self) {
        let (route, version) = (self.draw_below(ROUTE_COUNT), self.next_version());
        self.set_route(route, version);
    }

    /// Two to eight operators send different contents for the same version of a route to several machines.
    fn race(&mut self) {
        let (route, version) = (self.draw_below(ROUTE_COUNT), self.next_version());
        let now = self.now_ms;
        for racer in 0..self.draw_between(2, 9) {
            let operator = self.next_operator(Some(RouteVersion { route, version }));
            let (via, at) = (self.choose_core(), now + self.draw_below(25));
            self.add_step_at(
                at,
                format!(
                    "operator {operator} patch via core-{via} route=r{route}:h{route}/p/:a0 ver={version} \
                     timeout={}ms",
                    2_001 + racer
                ),
            );
        }
        self.now_ms += 25;
    }

    /// Repeats an earlier call, in half of the cases one of the latest eight.
    fn repeat_call(&mut self) {
        let count = self.sent_calls.len() as u64;
        if count == 0 {
            return;
        }
        let candidates = if self.chance(50) { count.min(8) } else { count };
        let index = count - 1 - self.draw_below(candidates);
        let operator = self.sent_calls[index as usize].operator.clone();
        let target = self.choose_target();
        self.add_step(format!("operator {operator} again {target}"));
    }

    fn drop_item(&mut self) {
        let version = self.next_version();
        let target = self.choose_target();
        if self.chance(25) {
            let (operator, service) = (self.next_operator(None), self.draw_below(SERVICE_COUNT));
            return self.add_step(format!(
                "operator {operator} patch {target}dropsvc=a{service} ver={version}"
            ));
        }
        let route = self.draw_below(ROUTE_COUNT);
        let operator = self.next_operator(Some(RouteVersion { route, version }));
        self.add_step(format!(
            "operator {operator} patch {target}drop=r{route} ver={version}"
        ));
        if self.chance(50) {
            self.now_ms += self.draw_between(5, 300);
            let version = self.next_version();
            self.set_route(route, version);
        }
    }

    /// Sends another content for an older version, either alone or in a call with a new service.
    fn reuse_version(&mut self) {
        let versions: Vec<RouteVersion> = self
            .sent_calls
            .iter()
            .rev()
            .filter_map(|call| call.route)
            .collect();
        if versions.is_empty() {
            return;
        }
        let RouteVersion { route, version } =
            versions[self.draw_below(versions.len().min(REUSE_WINDOW) as u64) as usize];
        let (operator, target) = (self.next_operator(None), self.choose_target());
        let timeout = self.draw_between(3_000, 4_000);
        let new_service = if self.chance(60) {
            format!(" svc=n{}@1", self.calls)
        } else {
            String::new()
        };
        self.add_step(format!(
            "operator {operator} patch {target}route=r{route}:h{route}/p/:a0@{version}{new_service} timeout={timeout}ms"
        ));
    }

    fn send_invalid_patch(&mut self) {
        let (version, target) = (self.next_version(), self.choose_target());
        let operator = self.next_operator(None);
        let patch_items = match self.draw_below(3) {
            0 => format!("svc=b{0} route=bad{0}:h9/p/:none ver={version}", self.calls),
            // Valid on its own, but another route may have the same host and prefix.
            1 => format!(
                "route=x{0}:h{1}/p/:a0 ver={version}",
                self.calls,
                self.calls % ROUTE_COUNT
            ),
            _ => format!("svc=a0 route=r9:h9/q/:a0 ver={version} torn"),
        };
        self.add_step(format!("operator {operator} patch {target}{patch_items}"));
    }

    /// Begins or ends an evacuation, with one to three calls to any machines.
    fn evacuate(&mut self) {
        let zone = ZONES[self.draw_below(ZONES.len() as u64) as usize];
        let begin = if self.chance(50) { "begin" } else { "finish" };
        for _ in 0..self.draw_between(1, 4) {
            let (operator, target) = (self.next_operator(None), self.choose_target());
            self.add_step(format!("operator {operator} evac {zone} {begin} {target}"));
            self.now_ms += self.draw_below(30);
        }
        self.now_ms += EVACUATION_PAUSE_MS;
    }

    fn read(&mut self) {
        let target = self.choose_target();
        self.calls += 1;
        self.add_step(format!("operator g{} get {target}", self.calls));
    }
}
