//! What a run takes of the machine, told before it starts: descriptors of this process, and memory.

use crate::error::ResourceError;
use crate::peer_links::MAX_FULL_MESH;
use crate::scenario::Site;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use std::fmt;

/// What one limiter's process takes, in MiB: twice what one was seen to have.
const LIMITER_MIB: u64 = 14;
/// What the stand-ins take beside.
const BASE_MIB: u64 = 256;
const BASE_DESCRIPTORS: u64 = 256;
/// Connections of clients to one limiter.
const CLIENT_CONNECTIONS_PER_LIMITER: u64 = 8;

/// Figures of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeeds {
    /// Descriptors of the process that plays the stand-ins.
    pub descriptors: u64,
    /// Memory of all processes, in MiB.
    pub memory_mib: u64,
}

impl ResourceNeeds {
    /// What a site needs; a server listens at an address for each limiter, unless there is one for all, and links stand
    /// between all pairs or neighbours.
    pub fn for_site(site: &Site, links: bool) -> ResourceNeeds {
        let (limiters, servers) = (site.limiters as u64, site.servers as u64);
        let pairs = match links {
            false => 0,
            true if site.limiters <= MAX_FULL_MESH => 3 * limiters * limiters,
            // Two neighbours for each power of four.
            true => 3 * limiters * 2 * u64::from(limiters.ilog2() / 2 + 1),
        };
        let addresses = if site.one_address { 1 } else { limiters };
        ResourceNeeds {
            descriptors: BASE_DESCRIPTORS
                + 2 * addresses * servers
                + limiters * (4 + CLIENT_CONNECTIONS_PER_LIMITER)
                + pairs,
            memory_mib: BASE_MIB + LIMITER_MIB * limiters,
        }
    }

    /// Takes what the machine gives: the limit on descriptors is raised as far as it may be.
    ///
    /// # Errors
    ///
    /// [`ResourceError`], with the figure that is not there, and what would do.
    pub fn check(&self) -> Result<(), ResourceError> {
        let limit = ResourceError::DescriptorLimit;
        let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(limit)?;
        if soft < self.descriptors {
            if hard < self.descriptors {
                return Err(ResourceError::Descriptors {
                    needed: self.descriptors,
                    available: hard,
                });
            }
            setrlimit(Resource::RLIMIT_NOFILE, self.descriptors, hard).map_err(limit)?;
        }
        match available_mib() {
            Some(available) if available < self.memory_mib => Err(ResourceError::Memory {
                needed: self.memory_mib,
                available,
            }),
            _ => Ok(()),
        }
    }
}

impl fmt::Display for ResourceNeeds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "needs {} descriptors and {} MiB of memory",
            self.descriptors, self.memory_mib
        )
    }
}

/// Memory that is available (proc(5), `MemAvailable`).
fn available_mib() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"))?;
    line.split_whitespace()
        .next()?
        .parse::<u64>()
        .ok()
        .map(|kib| kib / 1024)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_not_there_is_refused_with_its_figure() {
        let needs = ResourceNeeds {
            descriptors: u64::MAX / 2,
            memory_mib: 1,
        };
        assert!(needs
            .check()
            .is_err_and(|e| e.to_string().contains(&needs.descriptors.to_string())));
        let needs = ResourceNeeds {
            descriptors: 1,
            memory_mib: 1 << 40,
        };
        assert!(needs
            .check()
            .is_err_and(|e| e.to_string().contains("MiB of memory")));
        let site = Site {
            limiters: 300,
            servers: 20,
            ..Site::default()
        };
        assert!(
            ResourceNeeds::for_site(&site, false).descriptors < 20_000,
            "{}",
            ResourceNeeds::for_site(&site, false)
        );
    }
}
