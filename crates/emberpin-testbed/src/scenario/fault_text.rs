//! Faults in words, as reports and traces have them.

use super::Fault;
use crate::trace::seconds;
use std::fmt;

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::LimiterKilled { limiter, back } => {
                write!(
                    formatter,
                    "limiter {limiter} killed, back after {:.1} s",
                    seconds(*back)
                )
            }
            Fault::LimiterRestarted { limiter } => write!(formatter, "limiter {limiter} restarted"),
            Fault::ServerKilled { server, back } => {
                write!(
                    formatter,
                    "server {server} killed, back cold after {:.1} s",
                    seconds(*back)
                )
            }
            Fault::ServerReplaced { server } => write!(formatter, "server {server} replaced"),
            Fault::ServerDrained { server, .. } => write!(formatter, "server {server} drained"),
            Fault::ServerStalled { server, .. } => {
                write!(formatter, "server {server} stands still")
            }
            Fault::ServerResponsesFaulty {
                server, how, share, ..
            } => {
                write!(
                    formatter,
                    "server {server} spoils {:.0} % of its answers: {how:?}",
                    share * 100.0
                )
            }
            Fault::ServerRefuses { server, .. } => {
                write!(formatter, "server {server} refuses connections")
            }
            Fault::ServerMoved { server } => {
                write!(formatter, "server {server} moved to another address")
            }
            Fault::ZoneLost { hall, .. } => write!(formatter, "hall {hall} lost"),
            Fault::LinkCut {
                limiter, hall, way, ..
            } => {
                write!(
                    formatter,
                    "link of limiter {limiter} to hall {hall} cut: {way:?}"
                )
            }
            Fault::LinkSlow {
                limiter,
                hall,
                delay,
                ..
            } => {
                write!(
                    formatter,
                    "link of limiter {limiter} to hall {hall} slower by {:.0} ms",
                    seconds(*delay) * 1000.0
                )
            }
            Fault::PeersSplit { group, way, .. } => {
                write!(formatter, "limiters {group:?} split from the rest: {way:?}")
            }
            Fault::PeersLossy { loss, .. } => {
                write!(
                    formatter,
                    "{:.0} % of the peers' messages lost",
                    loss * 100.0
                )
            }
            Fault::DiscoverySilent { .. } => formatter.write_str("discovery silent"),
            Fault::DiscoveryDead { .. } => formatter.write_str("the list service dead"),
            Fault::DiscoveryListFaulty { how, .. } => {
                write!(formatter, "the list service tells an untrue list: {how:?}")
            }
            Fault::LimiterPaused { limiter, length } => {
                write!(
                    formatter,
                    "limiter {limiter} paused for {:.1} s",
                    seconds(*length)
                )
            }
            Fault::DiskFaulty { limiter, lie } => {
                write!(formatter, "the disk of limiter {limiter} is to lie: {lie}")
            }
            Fault::LimiterStopsAtPoint { limiter, point, .. } => {
                write!(formatter, "limiter {limiter} is to stop at {point}")
            }
            Fault::LimiterHungUp { limiter } => write!(formatter, "limiter {limiter} hung up"),
            Fault::DiscoveryCallersKilled { count, back } => {
                write!(formatter,
                "the next {count} callers of the list service killed as they call, back after {:.1} s",
                seconds(*back)
            )
            }
            Fault::LimitersKilled { count, back } => {
                write!(
                    formatter,
                    "{count} limiters killed, back after {:.1} s",
                    seconds(*back)
                )
            }
            Fault::CustomersMove { share } => {
                write!(formatter, "{:.0} % of the firms move", share * 100.0)
            }
            Fault::CustomerFloods { plan, times, .. } => {
                write!(
                    formatter,
                    "a firm of plan {} asks {times} times its quota",
                    crate::figures::PLANS[*plan].name
                )
            }
            Fault::LoadSpike { times, .. } => write!(formatter, "{times} times the load"),
        }
    }
}
