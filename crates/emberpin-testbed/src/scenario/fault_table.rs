//! Reads a fault from its table: each kind takes what it needs, and nothing may be left over.

use super::bounds::{index, number, required, time};
use super::error::Problem;
use super::{micros, Fault, FaultKind, RawFault, Site, TimedFault, LinkDirection, MAX_SECONDS};
use crate::figures::PLANS;
use crate::trace::Micros;
use serde::Deserialize;

/// What a fault needs, taken out of its table; whatever is left over then is of no use to it.
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

    fn hall(&mut self) -> Result<usize, Problem> {
        index("hall", self.raw.hall.take(), self.site.halls)
    }

    fn length(&mut self) -> Result<Micros, Problem> {
        time("for_s", self.raw.for_s.take(), 1.0)
    }

    fn back(&mut self) -> Result<Micros, Problem> {
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

    /// One of the words that this fault knows.
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

    /// Guards against a value that its writer believes to matter.
    fn rest(&self) -> Result<(), Problem> {
        let raw = &self.raw;
        let left = [
            ("limiter", raw.limiter.is_some()),
            ("server", raw.server.is_some()),
            ("hall", raw.hall.is_some()),
            ("plan", raw.plan.is_some()),
            ("for_s", raw.for_s.is_some()),
            ("back_s", raw.back_s.is_some()),
            ("every_s", raw.every_s.is_some()),
            ("share", raw.share.is_some()),
            ("times", raw.times.is_some()),
            ("delay_ms", raw.delay_ms.is_some()),
            ("point", raw.point.is_some()),
            ("lie", raw.lie.is_some()),
            ("how", raw.how.is_some()),
            ("way", raw.way.is_some()),
            ("group", raw.group.is_some()),
        ];
        match left.iter().find(|(_, left)| *left) {
            None => Ok(()),
            Some((name, _)) => Err(Problem::Unused { name }),
        }
    }
}

impl RawFault {
    pub(super) fn check(&self, site: &Site) -> Result<Vec<TimedFault>, Problem> {
        number("at_s", self.at_s, 0.0, MAX_SECONDS)?;
        let at = micros(self.at_s);
        let mut of = FaultFields {
            raw: self.clone(),
            site,
        };
        let one = |fault| vec![TimedFault { at, fault }];
        let faults = match self.what {
            FaultKind::LimiterKilled => one(Fault::LimiterKilled {
                limiter: of.limiter()?,
                back: of.back()?,
            }),
            FaultKind::LimiterRestarted => one(Fault::LimiterRestarted {
                limiter: of.limiter()?,
            }),
            FaultKind::LimitersRolled => {
                let every = of.every()?;
                let each = |limiter: usize| TimedFault {
                    at: at + every * limiter as Micros,
                    fault: Fault::LimiterRestarted { limiter },
                };
                (0..site.limiters).map(each).collect()
            }
            FaultKind::ServerKilled => one(Fault::ServerKilled {
                server: of.server()?,
                back: of.back()?,
            }),
            FaultKind::ServerReplaced => one(Fault::ServerReplaced {
                server: of.server()?,
            }),
            FaultKind::ServersRolled => {
                let every = of.every()?;
                let each = |server: usize| TimedFault {
                    at: at + every * server as Micros,
                    fault: Fault::ServerReplaced { server },
                };
                (0..site.servers).map(each).collect()
            }
            FaultKind::ServerDrained => one(Fault::ServerDrained {
                server: of.server()?,
                length: of.length()?,
            }),
            FaultKind::ServerStalled => one(Fault::ServerStalled {
                server: of.server()?,
                length: of.length()?,
            }),
            FaultKind::ServerResponsesFaulty => one(Fault::ServerResponsesFaulty {
                server: of.server()?,
                how: of.how()?,
                share: of.share()?,
                length: of.length()?,
            }),
            FaultKind::ServerRefuses => one(Fault::ServerRefuses {
                server: of.server()?,
                length: of.length()?,
            }),
            FaultKind::ServerMoved => one(Fault::ServerMoved {
                server: of.server()?,
            }),
            FaultKind::ZoneLost => one(Fault::ZoneLost {
                hall: of.hall()?,
                back: of.back()?,
            }),
            FaultKind::LinkCut => one(Fault::LinkCut {
                limiter: of.limiter()?,
                hall: of.hall()?,
                way: required("way", of.raw.way.take())?,
                length: of.length()?,
            }),
            FaultKind::LinkSlow => one(Fault::LinkSlow {
                limiter: of.limiter()?,
                hall: of.hall()?,
                delay: of.delay()?,
                length: of.length()?,
            }),
            FaultKind::PeersSplit => {
                let way = of.raw.way.take().unwrap_or(LinkDirection::Both);
                one(Fault::PeersSplit {
                    group: of.group()?,
                    way,
                    length: of.length()?,
                })
            }
            FaultKind::PeersLossy => one(Fault::PeersLossy {
                loss: of.share()?,
                delay: of.delay()?,
                length: of.length()?,
            }),
            FaultKind::DiscoverySilent => one(Fault::DiscoverySilent {
                length: of.length()?,
            }),
            FaultKind::DiscoveryDead => one(Fault::DiscoveryDead {
                length: of.length()?,
            }),
            FaultKind::DiscoveryListFaulty => {
                let group = of.raw.group.is_some().then(|| of.group()).transpose()?;
                one(Fault::DiscoveryListFaulty {
                    how: of.how()?,
                    group,
                    length: of.length()?,
                })
            }
            FaultKind::LimiterPaused => one(Fault::LimiterPaused {
                limiter: of.limiter()?,
                length: of.length()?,
            }),
            FaultKind::DiskFaulty => {
                let (limiter, lie) = (of.limiter()?, required("lie", of.raw.lie.take())?);
                one(Fault::DiskFaulty { limiter, lie })
            }
            FaultKind::LimiterStopsAtPoint => {
                let back = of.raw.back_s.is_some().then(|| of.back()).transpose()?;
                let point = required("point", of.raw.point.take())?;
                let (limiter, length) = (of.limiter()?, of.length()?);
                one(Fault::LimiterStopsAtPoint {
                    limiter,
                    point,
                    length,
                    back,
                })
            }
            FaultKind::LimitersKilled => {
                let count = (of.share()? * site.limiters as f64).round() as usize;
                one(Fault::LimitersKilled {
                    count,
                    back: of.back()?,
                })
            }
            FaultKind::DiscoveryCallersKilled => {
                let count = (of.share()? * site.limiters as f64).round() as usize;
                one(Fault::DiscoveryCallersKilled {
                    count,
                    back: of.back()?,
                })
            }
            FaultKind::LimiterHungUp => one(Fault::LimiterHungUp {
                limiter: of.limiter()?,
            }),
            FaultKind::CustomersMove => one(Fault::CustomersMove { share: of.share()? }),
            FaultKind::CustomerFloods => one(Fault::CustomerFloods {
                plan: of.plan()?,
                times: of.times()?,
                length: of.length()?,
            }),
            FaultKind::LoadSpike => one(Fault::LoadSpike {
                times: of.times()?,
                length: of.length()?,
            }),
        };
        of.rest()?;
        Ok(faults)
    }
}
