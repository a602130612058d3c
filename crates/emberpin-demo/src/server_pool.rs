//! All stand-in servers, by service and zone.

use crate::configuration::SERVICES;
use crate::deployment::ZONES;
use crate::error::DemoError;
use crate::record::Recorder;
use crate::server::{Server, ServerGroup, StartState};
use std::net::SocketAddr;

/// Servers of each service in each zone at the start.
pub const SERVERS_PER_GROUP: usize = 2;

/// Keeps the seeds of runs with consecutive seeds apart.
const SEED_FACTOR: u64 = 1_000;

/// The servers that run.
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

    /// Starts one more server; `number` tells it apart from all others of its group, also those that have ended.
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

    /// Takes the oldest server of a group out of the pool; dropping it is a crash.
    pub fn remove(&mut self, group: ServerGroup) -> Option<Server> {
        let mut servers = self.servers.iter();
        let index = servers.position(|server| server.group() == group)?;
        Some(self.servers.remove(index))
    }
}
