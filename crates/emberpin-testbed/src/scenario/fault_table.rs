//! Builds a fault from its TOML table: each kind takes the fields that it needs, and no field may be left over.

use super::bounds::{index, number, required, time};
use super::error::Problem;
use super::{micros, Fault, FaultKind, LinkDirection, RawFault, Site, TimedFault, MAX_SECONDS};
use crate::figures::PLANS;
use crate::trace::Micros;
use serde::Deserialize;

/// The fields of a fault's table. Each accessor takes its field out, so that unused fields remain.
struct FaultFields<'a> {
    raw: RawFault,
    site: &'a Site,
}

impl FaultFields<'_> {
    fn limiter(&mut self) -> Result<usize, Problem> {
        index("limiter", self.raw.limiter.take(), self.site.limiters)
    }

    fn server(&mut self) -> Result<usize, Problem> {
        index("server", self.raw.server.take(), self.site.servers)
    }

    fn zone(&mut self) -> Result<usize, Problem> {
        index("hall", self.raw.zone.take(), self.site.zones)
    }

    fn length(&mut self) -> Result<Micros, Problem> {
        time("for_s", self.raw.for_s.take(), 1.0)
    }

    fn restart_after(&mut self) -> Result<Micros, Problem> {
        time("back_s", self.raw.back_s.take(), 1.0)
    }

    fn every(&mut self) -> Result<Micros, Problem> {
        time("every_s", self.raw.every_s.take(), 1.0)
    }

    fn delay(&mut self) -> Result<Micros, Problem> {
        time("delay_ms", self.raw.delay_ms.take(), 1000.0)
    }

    fn share(&mut self) -> Result<f64, Problem> {
        required("share", self.raw.share.take())
            .and_then(|v| number("share", v, 0.0, 1.0).map(|()| v))
    }

    fn times(&mut self) -> Result<f64, Problem> {
        required("times", self.raw.times.take())
            .and_then(|v| number("times", v, 0.0, 1000.0).map(|()| v))
    }

    fn plan(&mut self) -> Result<usize, Problem> {
        let name = required("plan", self.raw.plan.take())?;
        PLANS
            .iter()
            .position(|plan| plan.name == name)
            .ok_or_else(|| {
                let names: Vec<&str> = PLANS.iter().map(|plan| plan.name).collect();
                Problem::UnknownWord {
                    name: "plan",
                    word: name,
                    expected: format!("one of {}", names.join(", ")),
                }
            })
    }

    /// Parses the field `how` as one of the words that this kind of fault allows.
    fn how<T: for<'a> Deserialize<'a>>(&mut self) -> Result<T, Problem> {
        let word = required("how", self.raw.how.take())?;
        T::deserialize(toml::Value::String(word.clone())).map_err(|error| {
            let expected = error
                .message()
                .split_once("expected")
                .map_or("", |(_, expected)| expected)
                .trim();
            Problem::UnknownWord {
                name: "how",
                word,
                expected: expected.into(),
            }
        })
    }

    fn group(&mut self) -> Result<Vec<usize>, Problem> {
        let group = required("group", self.raw.group.take())?;
        for limiter in &group {
            index("group", Some(*limiter), self.site.limiters)?;
        }
        Ok(group)
    }

    /// Rejects fields that this kind of fault does not use: the scenario's author expects them to have an effect.
    fn reject_unused(&self) -> Result<(), Problem> {
        let raw = &self.raw;
        let fields = [
            ("limiter", raw.limiter.is_some()),
            ("server", raw.server.is_some()),
            ("hall", raw.zone.is_some()),
            ("plan", raw.plan.is_some()),
            ("for_s", raw.for_s.is_some()),
            ("back_s", raw.back_s.is_some()),
            ("every_s", raw.every_s.is_some()),
            ("share", raw.share.is_some()),
            ("times", raw.times.is_some()),
            ("delay_ms", raw.delay_ms.is_some()),
            ("point", raw.point.is_some()),
            ("lie", raw.disk_fault.is_some()),
            ("how", raw.how.is_some()),
            ("way", raw.direction.is_some()),
            ("group", raw.group.is_some()),
        ];
        match fields.iter().find(|(_, is_left)| *is_left) {
            None => Ok(()),
            Some((name, _)) => Err(Problem::Unused { name }),
        }
    }
}

impl RawFault {
    pub(super) fn check(&self, site: &Site) -> Result<Vec<TimedFault>, Problem> {
        number("at_s", self.at_s, 0.0, MAX_SECONDS)?;
        let at = micros(self.at_s);
        let mut fields = FaultFields {
            raw: self.clone(),
            site,
        };
        let one = |fault| vec![TimedFault { at, fault }];
        let faults = match self.kind {
            FaultKind::LimiterKilled => one(Fault::LimiterKilled {
                limiter: fields.limiter()?,
                restart_after: fields.restart_after()?,
            }),
            FaultKind::LimiterRestarted => one(Fault::LimiterRestarted {
                limiter: fields.limiter()?,
            }),
            FaultKind::LimitersRolled => {
                let every = fields.every()?;
                let each = |limiter: usize| TimedFault {
                    at: at + every * limiter as Micros,
                    fault: Fault::LimiterRestarted { limiter },
                };
                (0..site.limiters).map(each).collect()
            }
            FaultKind::ServerKilled => one(Fault::ServerKilled {
                server: fields.server()?,
                restart_after: fields.restart_after()?,
            }),
            FaultKind::ServerReplaced => one(Fault::ServerReplaced {
                server: fields.server()?,
            }),
            FaultKind::ServersRolled => {
                let every = fields.every()?;
                let each = |server: usize| TimedFault {
                    at: at + every * server as Micros,
                    fault: Fault::ServerReplaced { server },
                };
                (0..site.servers).map(each).collect()
            }
            FaultKind::ServerDrained => one(Fault::ServerDrained {
                server: fields.server()?,
                length: fields.length()?,
            }),
            FaultKind::ServerStalled => one(Fault::ServerStalled {
                server: fields.server()?,
                length: fields.length()?,
            }),
            FaultKind::ServerResponsesFaulty => one(Fault::ServerResponsesFaulty {
                server: fields.server()?,
                response_fault: fields.how()?,
                share: fields.share()?,
                length: fields.length()?,
            }),
            FaultKind::ServerRefuses => one(Fault::ServerRefuses {
                server: fields.server()?,
                length: fields.length()?,
            }),
            FaultKind::ServerMoved => one(Fault::ServerMoved {
                server: fields.server()?,
            }),
            FaultKind::ZoneLost => one(Fault::ZoneLost {
                zone: fields.zone()?,
                restart_after: fields.restart_after()?,
            }),
            FaultKind::LinkCut => one(Fault::LinkCut {
                limiter: fields.limiter()?,
                zone: fields.zone()?,
                direction: required("way", fields.raw.direction.take())?,
                length: fields.length()?,
            }),
            FaultKind::LinkSlow => one(Fault::LinkSlow {
                limiter: fields.limiter()?,
                zone: fields.zone()?,
                delay: fields.delay()?,
                length: fields.length()?,
            }),
            FaultKind::PeersSplit => {
                let direction = fields.raw.direction.take().unwrap_or(LinkDirection::Both);
                one(Fault::PeersSplit {
                    group: fields.group()?,
                    direction,
                    length: fields.length()?,
                })
            }
            FaultKind::PeersLossy => one(Fault::PeersLossy {
                loss: fields.share()?,
                delay: fields.delay()?,
                length: fields.length()?,
            }),
            FaultKind::DiscoverySilent => one(Fault::DiscoverySilent {
                length: fields.length()?,
            }),
            FaultKind::DiscoveryDead => one(Fault::DiscoveryDead {
                length: fields.length()?,
            }),
            FaultKind::DiscoveryListFaulty => {
                let group = fields
                    .raw
                    .group
                    .is_some()
                    .then(|| fields.group())
                    .transpose()?;
                one(Fault::DiscoveryListFaulty {
                    list_fault: fields.how()?,
                    group,
                    length: fields.length()?,
                })
            }
            FaultKind::LimiterPaused => one(Fault::LimiterPaused {
                limiter: fields.limiter()?,
                length: fields.length()?,
            }),
            FaultKind::DiskFaulty => {
                let (limiter, disk_fault) = (
                    fields.limiter()?,
                    required("lie", fields.raw.disk_fault.take())?,
                );
                one(Fault::DiskFaulty {
                    limiter,
                    disk_fault,
                })
            }
            FaultKind::LimiterStopsAtPoint => {
                let restart_after = fields
                    .raw
                    .back_s
                    .is_some()
                    .then(|| fields.restart_after())
                    .transpose()?;
                let point = required("point", fields.raw.point.take())?;
                let (limiter, length) = (fields.limiter()?, fields.length()?);
                one(Fault::LimiterStopsAtPoint {
                    limiter,
                    point,
                    length,
                    restart_after,
                })
            }
            FaultKind::LimitersKilled => {
                let count = (fields.share()? * site.limiters as f64).round() as usize;
                one(Fault::LimitersKilled {
                    count,
                    restart_after: fields.restart_after()?,
                })
            }
            FaultKind::DiscoveryCallersKilled => {
                let count = (fields.share()? * site.limiters as f64).round() as usize;
                one(Fault::DiscoveryCallersKilled {
                    count,
                    restart_after: fields.restart_after()?,
                })
            }
            FaultKind::LimiterHungUp => one(Fault::LimiterHungUp {
                limiter: fields.limiter()?,
            }),
            FaultKind::CustomersMove => one(Fault::CustomersMove {
                share: fields.share()?,
            }),
            FaultKind::CustomerFloods => one(Fault::CustomerFloods {
                plan: fields.plan()?,
                times: fields.times()?,
                length: fields.length()?,
            }),
            FaultKind::LoadSpike => one(Fault::LoadSpike {
                times: fields.times()?,
                length: fields.length()?,
            }),
        };
        fields.reject_unused()?;
        Ok(faults)
    }
}
