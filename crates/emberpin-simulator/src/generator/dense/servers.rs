//! Server steps in a dense scenario.

use super::super::{SERVICE_COUNT, ZONES};
use super::DenseScenario;

/// Maximum number of servers in a scenario.
const MAX_SERVERS: u64 = 14;
/// The first server's port.
const FIRST_PORT: u64 = 2_000;

impl DenseScenario {
    pub(super) fn add_server_step(&mut self) {
        let started = self.servers;
        let server = if started > 0 {
            self.draw_below(started)
        } else {
            0
        };
        match self.draw_below(7) {
            0 if started > 0 => self.add_step(format!("server s{server} drain")),
            1 if started > 0 => self.add_step(format!("server s{server} leave")),
            2 if started > 0 => {
                self.add_step(format!("server s{server} crash"));
                if started < MAX_SERVERS && self.chance(50) {
                    // Another server starts with the crashed server's address.
                    let at = self.now_ms + self.draw_between(2_000, 3_000);
                    self.start_server(at, FIRST_PORT + server);
                }
            }
            3 if started > 0 => {
                let (seq, to) = (1 + self.draw_below(3), self.choose_core());
                self.add_step(format!("server s{server} says up seq {seq} to core-{to}"));
            }
            _ if started < MAX_SERVERS => self.start_server(self.now_ms, FIRST_PORT + started),
            _ => {}
        }
    }

    fn start_server(&mut self, at: u64, port: u64) {
        let (number, service) = (self.servers, self.draw_below(SERVICE_COUNT));
        self.servers += 1;
        let zone = ZONES[self.draw_below(ZONES.len() as u64) as usize];
        let cold = if self.chance(40) { " cold=3s" } else { "" };
        self.add_step_at(
            at,
            format!("server s{number} up svc=a{service} zone={zone} addr={port}{cold}"),
        );
    }
}
