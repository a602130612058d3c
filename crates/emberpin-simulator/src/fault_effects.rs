//! Counts how often the faults of a run took effect. A kill of a process that does not run, a partition without
//! messages, or a disk stall without writes tests nothing.

use crate::scenario::StoreMessageKind;
use std::fmt::{self, Display};
use std::ops::AddAssign;

/// The number of message kinds between stores that can be lost on purpose.
const MESSAGE_KIND_COUNT: usize = StoreMessageKind::ALL.len();

/// How often faults took effect, by kind of effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultEffects {
    /// Core processes that were stopped by a kill, a power cut, a wiped disk or a replacement.
    pub stopped_processes: u64,
    /// Unsynced writes that were lost in a power cut.
    pub lost_writes: u64,
    /// Wiped disks that were not empty.
    pub wiped_disks: u64,
    /// Events that were deferred until a frozen process was thawed.
    pub deferred_events: u64,
    /// Syncs that a stalled disk delayed.
    pub delayed_syncs: u64,
    /// Messages between stores that a partition dropped.
    pub partitioned_messages: u64,
    /// Messages between stores that were lost on purpose, in the order of [`StoreMessageKind::ALL`].
    lost_messages: [u64; MESSAGE_KIND_COUNT],
}

impl FaultEffects {
    /// Counts a message between stores that was lost on purpose.
    pub(crate) fn count_lost_message(&mut self, kind: StoreMessageKind) {
        let position = StoreMessageKind::ALL.iter().position(|one| *one == kind);
        if let Some(count) = position.and_then(|position| self.lost_messages.get_mut(position)) {
            *count += 1;
        }
    }

    /// The description of each kind of effect, with its count.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let named = [
            ("ended processes", self.stopped_processes),
            ("lost writes", self.lost_writes),
            ("wiped disks", self.wiped_disks),
            ("deferred events", self.deferred_events),
            ("delayed syncs", self.delayed_syncs),
            ("partitioned messages", self.partitioned_messages),
        ];
        let lost = StoreMessageKind::ALL.iter().zip(self.lost_messages);
        named
            .into_iter()
            .map(|(name, count)| (name.to_owned(), count))
            .chain(lost.map(|(kind, count)| (format!("lost messages ({kind:?})"), count)))
            .collect()
    }
}

impl AddAssign for FaultEffects {
    fn add_assign(&mut self, other: FaultEffects) {
        self.stopped_processes += other.stopped_processes;
        self.lost_writes += other.lost_writes;
        self.wiped_disks += other.wiped_disks;
        self.deferred_events += other.deferred_events;
        self.delayed_syncs += other.delayed_syncs;
        self.partitioned_messages += other.partitioned_messages;
        for (sum, count) in self.lost_messages.iter_mut().zip(other.lost_messages) {
            *sum += count;
        }
    }
}

impl Display for FaultEffects {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts: Vec<String> = self
            .counts()
            .into_iter()
            .map(|(name, count)| format!("{name}: {count}"))
            .collect();
        formatter.write_str(&counts.join(", "))
    }
}
