//! The pool of all stand-in servers, grouped by service and zone.

use crate::configuration::SERVICES;
use crate::deployment::ZONES;
use crate::error::DemoError;
use crate::record::Recorder;
use crate::server::{Server, ServerGroup, StartState};
use std::net::SocketAddr;

/// The number of servers of each service in each zone at the start.
pub const SERVERS_PER_GROUP: usize = 2;

/// Keeps the servers' seeds distinct between runs with consecutive seeds.
const SEED_FACTOR: u64 = 1_000;

/// The running servers.
pub struct ServerPool {
    registries: Vec<SocketAddr>,
    seed: u64,
    recorder: Recorder,
    servers: Vec<Server>,
}

impl ServerPool {
    /// Starts the servers of all groups.
    ///
    /// # Errors
    ///
    /// [`DemoError::System`] if a server cannot bind a port.
    pub async fn start(
        registries: Vec<SocketAddr>,
        seed: u64,
        recorder: Recorder,
    ) -> Result<ServerPool, DemoError> {
        let mut pool = ServerPool {
            registries,
            seed,
            recorder,
            servers: Vec::new(),
        };
        for service in SERVICES {
            for zone in ZONES {
                for number in 0..SERVERS_PER_GROUP {
                    let group = ServerGroup { service, zone };
                    pool.start_server(group, number, StartState::Warm).await?;
                }
            }
        }
        Ok(pool)
    }

    /// Starts one more server. `number` must differ from that of every other server of the group, including those that
    /// have ended.
    ///
    /// # Errors
    ///
    /// [`DemoError::System`] if it cannot bind a port.
    pub async fn start_server(
        &mut self,
        group: ServerGroup,
        number: usize,
        start_state: StartState,
    ) -> Result<(), DemoError> {
        let id = format!("{}-{}-{number}", group.service, group.zone);
        let id_sum: u64 = id.bytes().map(u64::from).sum();
        let seed = self.seed.wrapping_mul(SEED_FACTOR).wrapping_add(id_sum);
        let (registries, recorder) = (&self.registries, &self.recorder);
        let server = Server::start(group, id, start_state, registries, seed, recorder).await;
        self.servers
            .push(server.map_err(DemoError::system("a stand-in server"))?);
        Ok(())
    }

    /// Removes the oldest server of a group from the pool and returns it. Dropping it simulates a crash.
    pub fn remove(&mut self, group: ServerGroup) -> Option<Server> {
        let mut servers = self.servers.iter();
        let index = servers.position(|server| server.group() == group)?;
        Some(self.servers.remove(index))
    }
}
