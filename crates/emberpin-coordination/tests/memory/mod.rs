//! Registers in memory, and shorthands for the operations of the tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use emberpin_coordination::{
    evaluate, CellEvent, Evaluation, FencingToken, Operation, Outcome, RegisterKey, RegisterKind,
    Registers, Revision,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The content of a register, and the time of its last write.
struct Content {
    text: String,
    since: Duration,
}

/// Registers in memory, with a clock that the test advances.
#[derive(Default)]
pub struct Memory {
    pub now: Duration,
    /// The size that the registers report, whatever they contain.
    pub size_bytes: usize,
    contents: BTreeMap<RegisterKey, Content>,
}

impl Registers for Memory {
    fn content(&self, key: &RegisterKey) -> Option<&str> {
        Some(self.contents.get(key)?.text.as_str())
    }

    fn age(&self, key: &RegisterKey) -> Duration {
        let content = self.contents.get(key);
        content.map_or(Duration::ZERO, |content| self.now - content.since)
    }

    fn names_after(&self, kind: RegisterKind, after: &str, limit: usize) -> Vec<String> {
        let of_kind = self.contents.keys().filter(|key| key.kind == kind);
        let later = of_kind.filter(|key| key.name.as_str() > after);
        later.map(|key| key.name.clone()).take(limit).collect()
    }

    fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}

impl Memory {
    /// Evaluates an operation and applies its changes; `None` if it waits for a change.
    pub fn execute(&mut self, operation: &Operation) -> Option<Outcome> {
        let evaluation = evaluate(operation, self).expect("registers written by this build");
        let Evaluation::Complete { outcome, changes } = evaluation else {
            return None;
        };
        for change in changes {
            let content = Content {
                text: change.content,
                since: self.now,
            };
            self.contents.insert(change.key, content);
        }
        Some(outcome)
    }

    /// Advances the clock.
    pub fn advance(&mut self, span: Duration) {
        self.now += span;
    }

    /// Acquires the lock `l`.
    pub fn acquire(&mut self, owner: &str, lease: Duration) -> Option<Outcome> {
        self.execute(&Operation::AcquireLock {
            lock: "l".into(),
            owner: owner.into(),
            lease,
        })
    }

    /// Renews the lease of the lock `l`.
    pub fn renew(&mut self, owner: &str, token: u64, lease: Duration) -> Option<Outcome> {
        self.execute(&Operation::RenewLock {
            lock: "l".into(),
            owner: owner.into(),
            fence: FencingToken(token),
            lease,
        })
    }

    /// Releases the lock `l`.
    pub fn release(&mut self, owner: &str, token: u64) -> Option<Outcome> {
        self.execute(&Operation::ReleaseLock {
            lock: "l".into(),
            owner: owner.into(),
            fence: FencingToken(token),
        })
    }

    pub fn next_number(&mut self, counter: &str) -> Option<Outcome> {
        self.execute(&Operation::NextNumber {
            counter: counter.into(),
        })
    }

    /// Writes a value if the cell has the expected revision.
    pub fn put(&mut self, cell: &str, value: &str, expected: u64) -> Option<Outcome> {
        self.put_if(cell, value, Some(Revision(expected)))
    }

    /// Writes a value whatever the cell's revision is.
    pub fn put_unconditionally(&mut self, cell: &str, value: &str) -> Option<Outcome> {
        self.put_if(cell, value, None)
    }

    fn put_if(&mut self, cell: &str, value: &str, expected: Option<Revision>) -> Option<Outcome> {
        self.execute(&Operation::PutCell {
            cell: cell.into(),
            value: value.into(),
            expected,
        })
    }

    pub fn get(&mut self, cell: &str) -> Option<Outcome> {
        self.execute(&Operation::GetCell { cell: cell.into() })
    }

    /// Requests the changes of the group `g.` after a revision.
    pub fn watch(&mut self, after: u64) -> Option<Outcome> {
        self.execute(&Operation::WatchGroup {
            group: "g.".into(),
            after: Revision(after),
            wait: Duration::from_secs(1),
        })
    }
}

pub fn granted(token: u64) -> Outcome {
    Outcome::LockGranted {
        fence: FencingToken(token),
    }
}

pub fn written(revision: u64) -> Outcome {
    Outcome::CellWritten {
        revision: Revision(revision),
    }
}

pub fn changed(revision: u64) -> Outcome {
    Outcome::CellChanged {
        revision: Revision(revision),
    }
}

pub fn event(name: &str, value: &str, revision: u64) -> CellEvent {
    CellEvent {
        name: name.into(),
        value: value.into(),
        revision: Revision(revision),
    }
}
