//! What is learned of servers: latency, outlier ejection, membership and maintenance.

use super::*;

/// Weight of the newest in averages.
const GAIN: f64 = 0.1;
/// Strikes at which a server is ejected, how far above its fellows' mean they must lie, for how long it
/// rests at first and at most, and the largest share of the fleet that may rest at once.
pub(super) const STRIKES: f64 = 2.0;
const STRIKES_OVER_FELLOWS: f64 = 1.5;
/// And the share of its attempts that failed must be more than twice its median fellow's, and so much more.
const FAULTS_OVER_FELLOWS: f64 = 0.15;
const EJECT_MIN: Millis = 1_000.0;
const EJECT_MAX: Millis = 8_000.0;
const EJECT_SHARE: f64 = 0.5;

impl Gateway {
    pub(super) fn learn(
        &mut self,
        now: Millis,
        attempt: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.server;
        let kind = self
            .requests
            .get(&attempt.request)
            .map(|o| (o.request.class.0, o.request.units));
        if let Some(server) = self.servers.get_mut(&id) {
            server.out.remove(&(attempt.request, attempt.attempt));
            server.heard = now;
            server.queue = attempt.load.queue_length.unwrap_or(server.queue);
        }
        let cold = self
            .servers
            .get(&id)
            .is_some_and(|server| self.warmth(now, &server.info) < 1.0);
        if let (Some(waits), true) = (attempt.load.queue_length, cold) {
            self.load.cold_waits += (waits - self.load.cold_waits) * balancing::COLD_WEIGHT;
            self.load.cold_told = now;
        }
        let before_gap = now - attempt.elapsed < self.woke;
        if let (Some(server), Some(fault), false) = (
            self.servers.get_mut(&id),
            attempt.outcome.failure_weight(),
            before_gap,
        ) {
            server.faults += (fault - server.faults) * GAIN;
        }
        match attempt.outcome {
            Outcome::Ok if before_gap => self.load.answered += 1.0,
            _ if before_gap => {}
            Outcome::Ok => self.learn_latency(now, kind, id, attempt.elapsed),
            Outcome::Timeout | Outcome::Error | Outcome::Reset => {
                self.strike(now, id, 1.0, false, actions);
            }
            Outcome::ConnectFailed => self.strike(now, id, STRIKES, true, actions),
            Outcome::Rejected => self.strike(now, id, 0.5, false, actions),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.check_congestion(now, actions);
    }

    fn learn_latency(
        &mut self,
        now: Millis,
        kind: Option<(usize, f64)>,
        id: ServerId,
        elapsed: Millis,
    ) {
        self.load.answered += 1.0;
        let Some((class, units)) = kind else { return };
        let serves =
            |server: &Backend| self.may_take(server) && self.warmth(now, &server.info) >= 1.0;
        let warm = self.servers.get(&id).is_some_and(serves);
        self.load.warm_share += (f64::from(u8::from(warm)) - self.load.warm_share) * GAIN;
        if elapsed <= self.settings.classes[class].latency_target * AIM_SHARE {
            self.load.quick = now;
        }
        // The mean of all answers so far at first: where traffic is thin, a life would else go by the
        // least of the aims, and refuse what could wait, for most of a minute.
        self.load.aims += 1.0;
        self.aim += (self.settings.classes[class].latency_target - self.aim)
            * (GAIN * GAIN).max(1.0 / self.load.aims);
        let latency = &mut self.latency[class];
        latency.learn(units, elapsed, GAIN);
        // Both count as a millisecond at least: else whoever answers sooner seems faster than any that has
        // not answered yet.
        let relative = elapsed.max(1.0) / latency.of(units).mean.max(1.0);
        let usual = if self.load.usual > 0.0 {
            self.load.usual
        } else {
            latency.all.mean
        };
        self.load.usual = usual + (latency.all.mean - usual) * GAIN;
        if let Some(server) = self.servers.get_mut(&id) {
            server.ratio += (relative - server.ratio) * GAIN;
            server.strikes *= 0.5;
            if server.strikes < 0.5 {
                server.ejection = 0.0;
            }
        }
    }

    /// Outlier ejection: covers servers that are silent, down, refuse or err, whatever the cause; a
    /// fault that all share ejects none. Harm: a few unlucky outcomes rest a sound server a second.
    fn strike(
        &mut self,
        now: Millis,
        id: ServerId,
        weight: f64,
        cut: bool,
        actions: &mut Vec<Action>,
    ) {
        let (mut count, mut strikes, mut ejected) = (0.0f64, 0.0, 0.0);
        for server in self
            .servers
            .values()
            .filter(|s| s.info.status == ServerStatus::InService)
        {
            count += 1.0;
            strikes += server.strikes;
            ejected += f64::from(u8::from(now < server.ejected_until));
        }
        let mean = strikes / count.max(1.0);
        // Guards against resting one server after the other for what strikes them all: of connections that
        // break by chance some break twice running, at whichever server.
        let fellow = |(other, s): &(&ServerId, &Backend)| {
            **other != id && s.info.status == ServerStatus::InService
        };
        let mut fellows: Vec<f64> = self
            .servers
            .iter()
            .filter(fellow)
            .map(|(_, s)| s.faults)
            .collect();
        fellows.sort_by(f64::total_cmp);
        let usual = fellows
            .get(fellows.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0);
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.strikes += weight;
        let outlier = server.strikes >= STRIKES
            && server.strikes >= STRIKES_OVER_FELLOWS * mean
            && server.faults > 2.0 * usual + FAULTS_OVER_FELLOWS;
        // What takes no connection rests whatever its fellows do: others may hold connections that
        // still work (a full table, a cut link), and where none is left the choice falls back on all.
        let rests = cut || (outlier && ejected + 1.0 <= count * EJECT_SHARE);
        if rests && now >= server.ejected_until {
            server.ejection = (server.ejection * 2.0).clamp(EJECT_MIN, EJECT_MAX);
            server.ejected_until = now + server.ejection;
            self.log(
                now,
                "ejected a server: it fails more than its fellows",
                actions,
            );
        }
    }

    pub(super) fn membership(&mut self, now: Millis, news: MembershipUpdate) {
        let full = matches!(news, MembershipUpdate::Full(_));
        let (MembershipUpdate::Full(lines) | MembershipUpdate::Changes(lines)) = news else {
            return;
        };
        if full {
            for (id, server) in &mut self.servers {
                if !lines.iter().any(|line| line.id == *id) {
                    server.info.status = ServerStatus::Removed;
                }
            }
        }
        for line in lines {
            let rank = self.rank(&line);
            match self.servers.get_mut(&line.id) {
                Some(server) if server.info.started_at == line.started_at => server.info = line,
                known => {
                    let out = known
                        .map(|old| std::mem::take(&mut old.out))
                        .unwrap_or_default();
                    self.servers.insert(
                        line.id,
                        Backend {
                            out,
                            rank,
                            ..Backend::new(line, now)
                        },
                    );
                }
            }
        }
        self.servers
            .retain(|_, s| s.info.status != ServerStatus::Removed || !s.out.is_empty());
        let count = self.servers.len() as f64;
        self.servers
            .values_mut()
            .enumerate()
            .for_each(|(place, server)| server.turn = place as f64 / count);
    }

    /// Takes a server out by hand, or puts it back: as one that has just started and of which nothing is
    /// known, since it was most likely taken out to be restarted. Saying either again changes nothing.
    pub(super) fn maintain(
        &mut self,
        now: Millis,
        id: ServerId,
        out: bool,
        actions: &mut Vec<Action>,
    ) {
        if out {
            self.banned.insert(id);
            let left = self.servers.values().any(|server| self.may_take(server));
            if !left {
                self.log(
                    now,
                    "no server is left in service: the last was taken out by hand",
                    actions,
                );
            }
        } else if self.banned.remove(&id) {
            self.returned.insert(id, now);
            if let Some(server) = self.servers.get_mut(&id) {
                let (out, rank, turn) = (std::mem::take(&mut server.out), server.rank, server.turn);
                *server = Backend {
                    out,
                    rank,
                    turn,
                    ..Backend::new(server.info.clone(), now)
                };
            }
        }
    }
}
