//! One known instance with what this proxy has concluded about it.

use emberpin_membership::clock::to_wire_precision;
use emberpin_membership::instance::{Instance, Status};
use std::time::Duration;

/// The order of reports about one instance: the later status wins, then the higher sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportOrder {
    status: Status,
    seq: u64,
}

impl ReportOrder {
    pub(super) fn of(report: &Instance) -> ReportOrder {
        ReportOrder {
            status: report.status,
            seq: report.seq,
        }
    }
}

/// The warm-up that is assumed after the evacuation of a server's zone has ended, until a heartbeat from after that
/// moment says how long it really takes.
#[derive(Clone, Copy, Debug)]
struct WarmupAfterEvacuation {
    until: Duration,
    /// Reports from before are not trusted: their heartbeat may be from before the end of the evacuation.
    trusted_from: Duration,
    /// The sequence number at the end of the evacuation; only a higher one is news.
    seq: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) instance: Instance,
    /// The end of the warm-up that the server reported.
    reported_warmup_until: Duration,
    after_evacuation: Option<WarmupAfterEvacuation>,
    /// The sequence number at which its address was found to be another instance's.
    misdirected_at: Option<u64>,
}

impl Endpoint {
    pub(super) fn new(now: Duration, report: &Instance) -> Endpoint {
        Endpoint {
            instance: report.clone(),
            reported_warmup_until: now + report.warmup_left,
            after_evacuation: None,
            misdirected_at: None,
        }
    }

    /// The end of the warm-up on the proxy's clock.
    pub(super) fn warmup_until(&self) -> Duration {
        match self.after_evacuation {
            Some(assumed) => self.reported_warmup_until.max(assumed.until),
            None => self.reported_warmup_until,
        }
    }

    /// Takes in the warm-up time of a report that is not older than the known one. Returns whether the reported warm-up
    /// now ends later.
    pub(super) fn merge_warmup(&mut self, now: Duration, report: &Instance) -> bool {
        let mut until = now + report.warmup_left;
        // A repeated heartbeat says nothing new about the remaining time; the later end is the safe one.
        let is_newer = report.seq > self.instance.seq;
        if !is_newer {
            until = until.max(self.reported_warmup_until);
        }
        let is_superseded = |assumed: WarmupAfterEvacuation| {
            report.seq > assumed.seq && now >= assumed.trusted_from
        };
        if self.after_evacuation.is_some_and(is_superseded) {
            self.after_evacuation = None;
        }
        let ends_later = until > self.reported_warmup_until;
        self.reported_warmup_until = until;
        ends_later
    }

    /// Returns whether the reported warm-up now ends later.
    pub(super) fn extend_warmup(&mut self, until: Duration) -> bool {
        let ends_later = until > self.reported_warmup_until;
        if ends_later {
            self.reported_warmup_until = until;
        }
        ends_later
    }

    pub(super) fn begin_warmup_after_evacuation(
        &mut self,
        now: Duration,
        warmup: Duration,
        heartbeat_interval: Duration,
    ) {
        self.after_evacuation = Some(WarmupAfterEvacuation {
            until: now + warmup,
            trusted_from: now + heartbeat_interval,
            seq: self.instance.seq,
        });
    }

    /// Takes over a report. A later status may come with a lower sequence number than was seen; the higher one stays.
    pub(super) fn replace_instance(&mut self, report: &Instance) {
        let seq = self.instance.seq.max(report.seq);
        self.instance = Instance {
            seq,
            ..report.clone()
        };
    }

    pub(super) fn mark_misdirected(&mut self) {
        self.misdirected_at = Some(self.instance.seq);
    }

    pub(super) fn is_misdirected(&self) -> bool {
        self.misdirected_at
            .is_some_and(|seq| self.instance.seq <= seq)
    }

    /// The instance as this proxy reports it to a registry, with the whole milliseconds that are left of its warm-up.
    pub(super) fn to_report(&self, now: Duration) -> Instance {
        let remaining = self.warmup_until().saturating_sub(now);
        Instance {
            warmup_left: to_wire_precision(remaining),
            ..self.instance.clone()
        }
    }
}
