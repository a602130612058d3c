//! The history of a group of cells: its latest changes, in a ring of segments.
//!
//! A segment holds consecutive changes, and each change rewrites one segment. When all segments are full, the oldest
//! one is cleared and reused, so the size of a history is bounded without a clock.

use crate::evaluate::Evaluation;
use crate::operation::{cell_group, Revision};
use crate::outcome::{CellEvent, Outcome};
use crate::register::{read, write, Change, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};

/// The maximum number of changes in a segment.
const SEGMENT_EVENTS: u64 = 8;
/// The number of segments of a group.
const SEGMENTS: u64 = 1_024;
/// The maximum number of segments that are searched for an earlier attempt of a write.
const MAX_SEARCHED_SEGMENTS: usize = 256;
/// A response has no further segments once it has this many changes. The caller sends another request for the changes
/// that follow.
const MAX_RESPONSE_EVENTS: usize = 256;
/// The minimum number of changes that are retained per group, once there are that many.
pub const MIN_RETAINED_EVENTS: u64 = SEGMENT_EVENTS * (SEGMENTS - 1);

/// The content of a group's register, stored as JSON under this field name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Group {
    /// The revision of the last change; [`Revision::NONE`] before the first.
    revision: Revision,
}

/// The content of a segment's register, stored as JSON under this field name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Segment {
    /// Changes in the order of their revisions, without gaps.
    events: Vec<CellEvent>,
}

/// The revision of a group's last change.
pub fn last_revision(registers: &impl Registers, group: &str) -> Result<Revision, InvalidRegister> {
    let Group { revision } = read(registers, &group_key(group))?;
    Ok(revision)
}

/// The changes of registers that append an event to the history of a group.
pub fn append(
    registers: &impl Registers,
    group: &str,
    event: CellEvent,
) -> Result<Vec<Change>, InvalidRegister> {
    let revision = event.revision;
    let key = segment_key(group, segment_of(revision));
    let mut segment: Segment = read(registers, &key)?;
    if is_first_of_segment(revision) {
        segment.events.clear();
    }
    segment.events.push(event);
    Ok(vec![
        write(group_key(group), &Group { revision }),
        write(key, &segment),
    ])
}

/// The revision above `after` at which a value was written to a cell. Only the latest [`MAX_SEARCHED_SEGMENTS`]
/// segments of the group are searched, as callers retry a request for a few seconds only.
pub fn find_write(
    registers: &impl Registers,
    cell: &str,
    value: &str,
    after: Revision,
) -> Result<Option<Revision>, InvalidRegister> {
    let group = cell_group(cell);
    let last = last_revision(registers, group)?;
    let encoded_value = serde_json::Value::from(value).to_string();
    let oldest = segment_of(after.next().max(oldest_kept(last)));
    let newest = segment_of(last);
    let searched = (oldest..=newest).rev().take(MAX_SEARCHED_SEGMENTS);
    for segment in searched {
        let key = segment_key(group, segment);
        // Most segments do not contain the value; these are skipped without parsing.
        let may_contain = registers
            .content(&key)
            .is_some_and(|content| content.contains(&encoded_value));
        if !may_contain {
            continue;
        }
        let Segment { events } = read(registers, &key)?;
        let is_written = |event: &&CellEvent| event.name == cell && event.value == value;
        if let Some(event) = events.iter().find(is_written) {
            return Ok(Some(event.revision));
        }
    }
    Ok(None)
}

/// Reads the changes after a revision; the caller waits if there are none. For [`Revision::NONE`], returns the current
/// revision without changes.
pub fn watch(
    registers: &impl Registers,
    group: &str,
    after: Revision,
) -> Result<Evaluation, InvalidRegister> {
    let last = last_revision(registers, group)?;
    if after == Revision::NONE {
        let events = Vec::new();
        return Ok(Evaluation::unchanged(Outcome::Events {
            events,
            revision: last,
        }));
    }
    if after >= last {
        return Ok(Evaluation::AwaitChange { revision: last });
    }
    if after.next() < oldest_kept(last) {
        return Ok(Evaluation::unchanged(Outcome::EventsDropped));
    }
    let events = events_after(registers, group, after, last)?;
    let Some(newest) = events.last() else {
        return Ok(Evaluation::AwaitChange { revision: last });
    };
    let revision = newest.revision;
    Ok(Evaluation::unchanged(Outcome::Events { events, revision }))
}

/// The first changes after a revision: whole segments until there are [`MAX_RESPONSE_EVENTS`] changes or more, without
/// those that follow a gap. A replica that is not the leader may know later changes and lack earlier ones.
fn events_after(
    registers: &impl Registers,
    group: &str,
    after: Revision,
    last: Revision,
) -> Result<Vec<CellEvent>, InvalidRegister> {
    let mut events = Vec::new();
    let mut next = after.next();
    for number in segment_of(after.next())..=segment_of(last) {
        let segment: Segment = read(registers, &segment_key(group, number))?;
        for event in segment.events {
            if event.revision == next {
                next = next.next();
                events.push(event);
            }
        }
        if events.len() >= MAX_RESPONSE_EVENTS {
            break;
        }
    }
    Ok(events)
}

/// The oldest revision that is retained when `last` is the latest one.
fn oldest_kept(last: Revision) -> Revision {
    let oldest_segment = (segment_of(last) + 1).saturating_sub(SEGMENTS);
    Revision(oldest_segment * SEGMENT_EVENTS + 1)
}

fn is_first_of_segment(revision: Revision) -> bool {
    (revision.0 - 1).is_multiple_of(SEGMENT_EVENTS)
}

/// The number of the segment with this revision. Segment numbers keep increasing when registers are reused.
fn segment_of(revision: Revision) -> u64 {
    revision.0.saturating_sub(1) / SEGMENT_EVENTS
}

fn group_key(group: &str) -> RegisterKey {
    RegisterKey::new(RegisterKind::CellGroup, group)
}

fn segment_key(group: &str, segment: u64) -> RegisterKey {
    let slot = segment % SEGMENTS;
    RegisterKey::new(RegisterKind::HistorySegment, format!("{group}/{slot}"))
}
