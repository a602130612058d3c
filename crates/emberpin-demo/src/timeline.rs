//! The times of a run's events, and the report lines about them.

use crate::deployment::Bounds;
use crate::report::format_millis;
use std::net::Ipv4Addr;
use std::time::Duration;

/// The times of a run's events on the recorder's clock; `None` for an event that did not happen in time.
pub struct Timeline {
    /// When all edges were ready. Printed times are relative to this time.
    pub ready_at: Duration,
    /// When the configuration change was acknowledged.
    pub change_acknowledged_at: Option<Duration>,
    /// When the change was in force at all edges.
    pub change_in_force_at: Option<Duration>,
    /// The maximum time that the run waited for the change to come into force.
    pub change_timeout: Duration,
    /// The zone that was evacuated.
    pub evacuated_zone: &'static str,
    /// When the evacuation was acknowledged.
    pub evacuation_acknowledged_at: Option<Duration>,
    /// When the operator requested the end of the evacuation.
    pub evacuation_finished_at: Duration,
    /// The time bounds in the gateway's settings.
    pub bounds: Bounds,
    /// The address of the core machine that was killed.
    pub killed_core: Ipv4Addr,
    /// When the core machine was killed.
    pub core_killed_at: Duration,
    /// When the processes of the core machine were restarted.
    pub core_restarted_at: Duration,
    /// When the core machine returned the configuration again.
    pub core_recovered_at: Option<Duration>,
    /// When the server crashed.
    pub server_crashed_at: Duration,
    /// Whether the drain and the leave announcement of the server that shut down gracefully were acknowledged.
    pub graceful_shutdown_acknowledged: bool,
}

impl Timeline {
    /// Formats one report line for each kind of event.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![self.start_line(), self.change_line()];
        lines.extend(self.evacuation_line());
        lines.push(self.core_line());
        lines.push(self.servers_line());
        lines
    }

    fn start_line(&self) -> String {
        let seconds = self.ready_at.as_secs_f64();
        format!("up: every edge was ready {seconds:.1} s after the start")
    }

    fn change_line(&self) -> String {
        let Some(acknowledged_at) = self.change_acknowledged_at else {
            return "change: not acknowledged".into();
        };
        match self.change_in_force_at {
            Some(in_force_at) => format!(
                "change: in force at every edge {} after its acknowledgement",
                format_millis(in_force_at.saturating_sub(acknowledged_at))
            ),
            None => format!(
                "change: not in force at every edge within {:?}",
                self.change_timeout
            ),
        }
    }

    fn evacuation_line(&self) -> Option<String> {
        let acknowledged_at = self.evacuation_acknowledged_at?;
        let bound = self.bounds.evacuation;
        let watched = self
            .evacuation_finished_at
            .saturating_sub(acknowledged_at + bound);
        Some(format!(
            "evacuation: {} from {} to {}, nothing may reach it after {:.1} s: watched for {:.1} s",
            self.evacuated_zone,
            self.since_ready(acknowledged_at),
            self.since_ready(self.evacuation_finished_at),
            bound.as_secs_f64(),
            watched.as_secs_f64(),
        ))
    }

    fn core_line(&self) -> String {
        let restarted_at = self.core_restarted_at;
        let recovery = match self.core_recovered_at {
            Some(at) => format!(
                "answered {} later",
                format_millis(at.saturating_sub(restarted_at))
            ),
            None => "did not answer again".into(),
        };
        format!(
            "core: {} killed at {}, started at {}, {recovery}",
            self.killed_core,
            self.since_ready(self.core_killed_at),
            self.since_ready(restarted_at)
        )
    }

    fn servers_line(&self) -> String {
        let shutdown = match self.graceful_shutdown_acknowledged {
            true => "drained and left",
            false => "left, not acknowledged",
        };
        let crashed = self.since_ready(self.server_crashed_at);
        format!("servers: one crashed at {crashed}, one {shutdown}")
    }

    fn since_ready(&self, time: Duration) -> String {
        let seconds = time.saturating_sub(self.ready_at).as_secs_f64();
        format!("{seconds:.1} s")
    }
}
