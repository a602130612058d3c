//! Servers, which send heartbeats to registries.

use crate::machine::CoreId;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The address of all servers, which differ in their ports.
const SERVER_ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 2, 1);

/// A server. Each start creates a new instance with its own id.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub instance_id: String,
    pub service: String,
    pub zone: String,
    pub port: u16,
    pub is_up: bool,
    pub is_draining: bool,
    pub is_leaving: bool,
    /// Whether its leave was acknowledged; it sends no more calls then.
    pub has_left: bool,
    pub warmup_until: Duration,
    pub incarnation: u32,
    pub last_seq: u64,
    /// The number of its last call. A response increases it, so that late responses and timeouts are recognized.
    pub last_attempt: u64,
    /// The core machine to which a registry directed its heartbeats.
    pub heartbeat_target: Option<CoreId>,
    /// The times of the requests that it got in the last second while warming up.
    pub recent_requests: VecDeque<Duration>,
}

impl Server {
    pub fn new(
        name: &str,
        incarnation: u32,
        service: &str,
        zone: &str,
        port: u16,
        warmup_until: Duration,
    ) -> Server {
        Server {
            instance_id: format!("{name}-{incarnation}"),
            service: service.into(),
            zone: zone.into(),
            port,
            is_up: true,
            is_draining: false,
            is_leaving: false,
            has_left: false,
            warmup_until,
            incarnation,
            last_seq: 0,
            last_attempt: 0,
            heartbeat_target: None,
            recent_requests: VecDeque::new(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::from((SERVER_ADDRESS, self.port))
    }
}

/// A call of a server to a registry: a heartbeat, or its leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerCall {
    pub server: String,
    pub incarnation: u32,
    pub attempt: u64,
    pub is_leaving: bool,
    pub is_draining: bool,
    pub seq: u64,
}
