//! Descriptions of faults for reports and traces.

use super::Fault;
use crate::trace::seconds;
use std::fmt;

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::LimiterKilled {
                limiter,
                restart_after,
            } => {
                write!(
                    formatter,
                    "limiter {limiter} killed, back after {:.1} s",
                    seconds(*restart_after)
                )
            }
            Fault::LimiterRestarted { limiter } => write!(formatter, "limiter {limiter} restarted"),
            Fault::ServerKilled {
                server,
                restart_after,
            } => {
                write!(
                    formatter,
                    "server {server} killed, back cold after {:.1} s",
                    seconds(*restart_after)
                )
            }
            Fault::ServerReplaced { server } => write!(formatter, "server {server} replaced"),
            Fault::ServerDrained { server, .. } => write!(formatter, "server {server} drained"),
            Fault::ServerStalled { server, .. } => {
                write!(formatter, "server {server} stalled")
            }
            Fault::ServerResponsesFaulty {
                server,
                response_fault,
                share,
                ..
            } => {
                write!(
                    formatter,
                    "server {server} sends {:.0} % faulty responses: {response_fault:?}",
                    share * 100.0
                )
            }
            Fault::ServerRefuses { server, .. } => {
                write!(formatter, "server {server} refuses connections")
            }
            Fault::ServerMoved { server } => {
                write!(formatter, "server {server} moved to another address")
            }
            Fault::ZoneLost { zone, .. } => write!(formatter, "hall {zone} lost"),
            Fault::LinkCut {
                limiter,
                zone,
                direction,
                ..
            } => {
                write!(
                    formatter,
                    "link of limiter {limiter} to hall {zone} cut: {direction:?}"
                )
            }
            Fault::LinkSlow {
                limiter,
                zone,
                delay,
                ..
            } => {
                write!(
                    formatter,
                    "link of limiter {limiter} to hall {zone} slower by {:.0} ms",
                    seconds(*delay) * 1000.0
                )
            }
            Fault::PeersSplit {
                group, direction, ..
            } => {
                write!(
                    formatter,
                    "limiters {group:?} split from the rest: {direction:?}"
                )
            }
            Fault::PeersLossy { loss, .. } => {
                write!(
                    formatter,
                    "{:.0} % of the peers' messages lost",
                    loss * 100.0
                )
            }
            Fault::DiscoverySilent { .. } => formatter.write_str("the discovery service is silent"),
            Fault::DiscoveryDead { .. } => formatter.write_str("the discovery service is down"),
            Fault::DiscoveryListFaulty { list_fault, .. } => {
                write!(
                    formatter,
                    "the discovery service sends a false list: {list_fault:?}"
                )
            }
            Fault::LimiterPaused { limiter, length } => {
                write!(
                    formatter,
                    "limiter {limiter} paused for {:.1} s",
                    seconds(*length)
                )
            }
            Fault::DiskFaulty {
                limiter,
                disk_fault,
            } => {
                write!(
                    formatter,
                    "the disk of limiter {limiter} will be faulty: {disk_fault}"
                )
            }
            Fault::LimiterStopsAtPoint { limiter, point, .. } => {
                write!(formatter, "limiter {limiter} will stop at {point}")
            }
            Fault::LimiterHungUp { limiter } => write!(formatter, "SIGHUP to limiter {limiter}"),
            Fault::DiscoveryCallersKilled {
                count,
                restart_after,
            } => {
                write!(formatter,
                "the next {count} callers of the discovery service killed as they call, back after {:.1} s",
                seconds(*restart_after)
            )
            }
            Fault::LimitersKilled {
                count,
                restart_after,
            } => {
                write!(
                    formatter,
                    "{count} limiters killed, back after {:.1} s",
                    seconds(*restart_after)
                )
            }
            Fault::CustomersMove { share } => {
                write!(formatter, "{:.0} % of the customers move", share * 100.0)
            }
            Fault::CustomerFloods { plan, times, .. } => {
                write!(
                    formatter,
                    "a customer of plan {} sends {times} times its quota",
                    crate::figures::PLANS[*plan].name
                )
            }
            Fault::LoadSpike { times, .. } => write!(formatter, "{times} times the load"),
        }
    }
}
