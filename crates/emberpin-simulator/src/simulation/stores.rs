//! Stores: their events, their actions, and their messages to each other.

use super::core_nodes::LOCAL_DELAY;
use super::Simulation;
use crate::machine::{CoreId, Machine};
use crate::state::event::Event;
use crate::state::process::ProcessIncarnation;
use crate::violation::Violation;
use emberpin_config::Item;
use emberpin_consensus::{self as consensus, Action, Message};
use std::time::Duration;

/// The additional delay of a late message is below this.
const MAX_LATENESS: Duration = Duration::from_millis(1_500);

/// Converts a time on a process's clock to a timestamp of the consensus package.
pub(super) fn store_timestamp(local: Duration) -> consensus::Timestamp {
    consensus::Timestamp::ZERO + local
}

impl Simulation {
    /// Sends a message between stores. It may be lost, late or duplicated, and messages may be reordered.
    fn send_store_message(&mut self, from: CoreId, to: CoreId, message: &Message) {
        let (sender, receiver) = (Machine::Core(from), Machine::Core(to));
        if self.network.is_partitioned(sender, receiver) {
            self.counters.fault_effects.partitioned_messages += 1;
            return;
        }
        if let Some(kind) = self.network.matching_loss(sender, receiver, message) {
            self.counters.fault_effects.count_lost_message(kind);
            return;
        }
        let is_duplicated = self.draw_percent(self.network.duplicate_percent);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.network.delay.clone();
            let delay = self.draw_time(&delay);
            let mut at = self.now + delay + self.draw_extra_delay(sender, receiver);
            if self.draw_percent(self.network.late_percent) {
                at += self.draw_time_below(MAX_LATENESS);
            }
            let message = message.clone();
            self.schedule(at, Event::StoreMessage { from, to, message });
        }
    }

    pub(super) fn on_store_message(&mut self, from: CoreId, to: CoreId, message: Message) {
        // A partition also drops messages that were in flight when it began.
        if self
            .network
            .is_partitioned(Machine::Core(from), Machine::Core(to))
        {
            self.counters.fault_effects.partitioned_messages += 1;
            return;
        }
        let from = from.address();
        self.handle_store_event(to, consensus::Event::Message { from, message });
    }

    pub(super) fn on_store_timer(&mut self, core: CoreId, incarnation: ProcessIncarnation) {
        let now = self.now;
        let running = self.running_incarnation(core, incarnation);
        let Some(running) = running.filter(|running| running.store_timer_at <= now) else {
            return;
        };
        running.store_timer_at = Duration::ZERO;
        self.handle_store_event(core, consensus::Event::Tick);
    }

    pub(super) fn handle_store_event(&mut self, core: CoreId, event: consensus::Event) {
        let now = self.now;
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        let local = node.process.local_time(now);
        let Some(running) = node.running.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        running
            .store
            .handle(store_timestamp(local), event, &mut actions);
        self.apply_store_actions(core, actions);
    }

    pub(super) fn apply_store_actions(&mut self, core: CoreId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist { token, write } => self.write_to_disk(core, token, write),
                Action::Send { to, message } => {
                    self.send_store_message(core, CoreId::from_address(to), &message);
                }
                Action::Reply {
                    call_id,
                    status,
                    body,
                } => self.send_operator_response(call_id.0, status, body),
                // Scenarios make no calls of the coordination package.
                Action::ReplyToApplication { .. } => {}
                Action::Learned { items } => self.report_chosen_items(core, items),
            }
        }
        self.schedule_store_timer(core);
    }

    /// Checks items that a store reports as chosen, and forwards them to the registry on its machine.
    fn report_chosen_items(&mut self, core: CoreId, items: Vec<Item>) {
        self.check_chosen_items(core, &items);
        let at = self.now + LOCAL_DELAY;
        let incarnation = self.incarnation(Machine::Core(core));
        self.schedule(
            at,
            Event::ItemsChosen {
                core,
                incarnation,
                items,
            },
        );
    }

    /// Checks that each chosen version has one content, and that the versions that a store reports increase.
    fn check_chosen_items(&mut self, core: CoreId, items: &[Item]) {
        for item in items {
            let result = self.record.record_chosen(item);
            self.fail_on_violation(result);
            let Some(running) = self.running_core(core) else {
                return;
            };
            let versions = &mut running.reported_versions;
            let before = versions.insert(item.key.clone(), item.version);
            if before.is_some_and(|before| before >= item.version) {
                self.fail(Violation::StoreVersionRegressed {
                    core,
                    key: item.key.clone(),
                    version: item.version,
                });
            }
        }
    }

    fn schedule_store_timer(&mut self, core: CoreId) {
        let now = self.now;
        let Some(node) = self.cores.get_mut(&core) else {
            return;
        };
        let Some(running) = node.running.as_mut() else {
            return;
        };
        let local = Duration::from_millis(running.store.next_tick_at().as_millis());
        let at = node.process.time_of_local(now, local);
        if running.store_timer_at <= now || at < running.store_timer_at {
            running.store_timer_at = at;
            let incarnation = node.process.incarnation;
            self.schedule(at, Event::StoreTimer { core, incarnation });
        }
    }
}
