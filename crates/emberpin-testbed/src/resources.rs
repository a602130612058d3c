//! Estimates the file descriptors and the memory that a run needs, and checks that the machine provides them.

use crate::error::ResourceError;
use crate::peer_links::MAX_FULL_MESH;
use crate::scenario::Site;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use std::fmt;

/// Estimated memory of one limiter's process in MiB: twice the size observed.
const LIMITER_MIB: u64 = 14;
/// Estimated memory of the stand-ins in MiB.
const BASE_MIB: u64 = 256;
/// Estimated descriptors of the stand-ins that do not depend on the size of the site.
const BASE_DESCRIPTORS: u64 = 256;
/// Estimated client connections to one limiter.
const CLIENT_CONNECTIONS_PER_LIMITER: u64 = 8;

/// The resources that one run needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeeds {
    /// File descriptors of the process that runs the stand-ins.
    pub descriptors: u64,
    /// Memory of all processes, in MiB.
    pub memory_mib: u64,
}

impl ResourceNeeds {
    /// Estimates the needs of a site. Each server listens at one address per limiter, or at one for all limiters
    /// (`one_address`). Links connect all pairs of limiters or, in groups larger than [`MAX_FULL_MESH`], neighbours
    /// only.
    pub fn for_site(site: &Site, links: bool) -> ResourceNeeds {
        let (limiters, servers) = (site.limiters as u64, site.servers as u64);
        let link_descriptors = match links {
            false => 0,
            true if site.limiters <= MAX_FULL_MESH => 3 * limiters * limiters,
            // Two neighbours per power of four in the number of limiters.
            true => 3 * limiters * 2 * u64::from(limiters.ilog2() / 2 + 1),
        };
        let addresses = if site.one_address { 1 } else { limiters };
        ResourceNeeds {
            descriptors: BASE_DESCRIPTORS
                + 2 * addresses * servers
                + limiters * (4 + CLIENT_CONNECTIONS_PER_LIMITER)
                + link_descriptors,
            memory_mib: BASE_MIB + LIMITER_MIB * limiters,
        }
    }

    /// Checks that the machine provides the resources. Raises the soft limit on file descriptors if it is too low and
    /// the hard limit allows it.
    ///
    /// # Errors
    ///
    /// [`ResourceError`] if a resource is too scarce, or if the limit on file descriptors cannot be read or raised.
    pub fn check(&self) -> Result<(), ResourceError> {
        let limit_error = ResourceError::DescriptorLimit;
        let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(limit_error)?;
        if soft < self.descriptors {
            if hard < self.descriptors {
                return Err(ResourceError::Descriptors {
                    needed: self.descriptors,
                    available: hard,
                });
            }
            setrlimit(Resource::RLIMIT_NOFILE, self.descriptors, hard).map_err(limit_error)?;
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

/// Available memory in MiB (proc(5), `MemAvailable`).
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
    fn missing_resources_are_reported_with_the_needed_amount() {
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
