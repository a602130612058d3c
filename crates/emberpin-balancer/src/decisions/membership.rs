//! Membership of servers: updates of the endpoint list, and servers that operators take out of service.

use super::{
    Action, Gateway, MembershipUpdate, Millis, Server, ServerId, ServerState, ServerStatus,
};

impl Gateway {
    /// Applies an update of the endpoint list. A removed server is kept while attempts at it are in flight.
    /// A server with a new incarnation starts without learned state; only its attempts in flight are kept.
    pub(super) fn on_membership(&mut self, now: Millis, update: MembershipUpdate) {
        let entries = match update {
            MembershipUpdate::Full(entries) => {
                self.remove_missing(&entries);
                entries
            }
            MembershipUpdate::Changes(entries) => entries,
            MembershipUpdate::Unavailable => return,
        };
        for entry in entries {
            self.update_server(now, entry);
        }
        self.servers.retain(|_, server| {
            server.info.status != ServerStatus::Removed || !server.in_flight.is_empty()
        });
        let count = self.servers.len() as f64;
        for (position, server) in self.servers.values_mut().enumerate() {
            server.turn_offset = position as f64 / count;
        }
    }

    /// Marks the servers that are not in a full list as removed.
    fn remove_missing(&mut self, endpoints: &[Server]) {
        for (id, server) in &mut self.servers {
            if !endpoints.iter().any(|entry| entry.id == *id) {
                server.info.status = ServerStatus::Removed;
            }
        }
    }

    /// Adds a server, or updates its entry.
    fn update_server(&mut self, now: Millis, entry: Server) {
        let gateway_rank = self.gateway_rank(&entry);
        match self.servers.get_mut(&entry.id) {
            Some(server) if server.info.started_at == entry.started_at => server.info = entry,
            previous => {
                let in_flight = previous
                    .map(|old| std::mem::take(&mut old.in_flight))
                    .unwrap_or_default();
                let server = ServerState {
                    in_flight,
                    gateway_rank,
                    ..ServerState::new(entry, now)
                };
                self.servers.insert(server.info.id, server);
            }
        }
    }

    /// Takes a server out of service for an operator. Repeating it changes nothing.
    pub(super) fn take_out_of_service(
        &mut self,
        now: Millis,
        id: ServerId,
        actions: &mut Vec<Action>,
    ) {
        self.in_maintenance.insert(id);
        let any_left = self
            .servers
            .values()
            .any(|server| self.accepts_requests(server));
        if !any_left {
            self.log(
                now,
                "no server is left in service: the last was taken out by hand",
                actions,
            );
        }
    }

    /// Puts a server back into service for an operator. It counts as just started, without learned state,
    /// since it was most likely taken out to be restarted. Nothing changes for a server that is in service.
    pub(super) fn return_to_service(&mut self, now: Millis, id: ServerId) {
        if !self.in_maintenance.remove(&id) {
            return;
        }
        self.returned_at.insert(id, now);
        if let Some(server) = self.servers.get_mut(&id) {
            *server = ServerState {
                in_flight: std::mem::take(&mut server.in_flight),
                gateway_rank: server.gateway_rank,
                turn_offset: server.turn_offset,
                ..ServerState::new(server.info.clone(), now)
            };
        }
    }
}
