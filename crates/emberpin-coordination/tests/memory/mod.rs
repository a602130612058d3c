//! Registers in memory, and the operations of tests on them.
#![allow(dead_code, reason = "each test file uses a part of it")]

use emberpin_coordination::{
    evaluate, CellEvent, Evaluation, FencingToken, Operation, Outcome, RegisterKey, RegisterKind,
    Registers, Revision,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// A register's content, and when it got it.
struct Content {
    text: String,
    since: Duration,
}

/// Registers on a clock that a test sets.
#[derive(Default)]
pub struct Memory {
    pub now: Duration,
    /// How many bytes the registers are said to take.
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
    /// Carries an operation out; `None` if it waits for a change.
    pub fn operate(&mut self, operation: &Operation) -> Option<Outcome> {
        let evaluation = evaluate(operation, self).expect("registers of this build");
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

    pub fn pass(&mut self, span: Duration) {
        self.now += span;
    }

    pub fn begin(&mut self, owner: &str, lease: Duration) -> Option<Outcome> {
        self.operate(&Operation::AcquireLock {
            lock: "l".into(),
            owner: owner.into(),
            lease,
        })
    }

    pub fn renew(&mut self, owner: &str, fence: u64, lease: Duration) -> Option<Outcome> {
        self.operate(&Operation::RenewLock {
            lock: "l".into(),
            owner: owner.into(),
            fence: FencingToken(fence),
            lease,
        })
    }

    pub fn finish(&mut self, owner: &str, fence: u64) -> Option<Outcome> {
        self.operate(&Operation::ReleaseLock {
            lock: "l".into(),
            owner: owner.into(),
            fence: FencingToken(fence),
        })
    }

    pub fn next_number(&mut self, counter: &str) -> Option<Outcome> {
        self.operate(&Operation::NextNumber {
            counter: counter.into(),
        })
    }

    /// Puts a value if the cell has this revision.
    pub fn put(&mut self, cell: &str, value: &str, expected: u64) -> Option<Outcome> {
        self.put_if(cell, value, Some(Revision(expected)))
    }

    /// Puts a value whatever revision the cell has.
    pub fn put_always(&mut self, cell: &str, value: &str) -> Option<Outcome> {
        self.put_if(cell, value, None)
    }

    fn put_if(&mut self, cell: &str, value: &str, expected: Option<Revision>) -> Option<Outcome> {
        self.operate(&Operation::PutCell {
            cell: cell.into(),
            value: value.into(),
            expected,
        })
    }

    pub fn get(&mut self, cell: &str) -> Option<Outcome> {
        self.operate(&Operation::GetCell { cell: cell.into() })
    }

    /// Asks for the changes of the group `g.`.
    pub fn watch(&mut self, after: u64) -> Option<Outcome> {
        self.operate(&Operation::WatchGroup {
            group: "g.".into(),
            after: Revision(after),
            wait: Duration::from_secs(1),
        })
    }
}

pub fn granted(fence: u64) -> Outcome {
    Outcome::LockGranted {
        fence: FencingToken(fence),
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
