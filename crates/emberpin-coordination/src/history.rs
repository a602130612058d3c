//! The history of a group of cells: its last changes, in segments that are used in turn.
//!
//! A segment holds consecutive changes. When all segments are full, the oldest one is begun anew: so a history is
//! bounded without any clock. Each change rewrites one segment.

use crate::evaluate::Evaluation;
use crate::operation::{group_of, Revision};
use crate::outcome::{CellEvent, Outcome};
use crate::register::{read, write, Change, InvalidRegister, RegisterKey, RegisterKind, Registers};
use serde::{Deserialize, Serialize};

/// How many changes a segment holds.
const SEGMENT_EVENTS: u64 = 8;
/// How many segments a group has.
const SEGMENTS: u64 = 1_024;
/// How many segments are searched for an earlier attempt of a write.
const MAX_SEARCHED_SEGMENTS: usize = 256;
/// Most changes that one response holds; the caller asks again for those that follow.
const MAX_RESPONSE_EVENTS: usize = 256;
/// How many changes of a group are kept at least.
pub const MIN_RETAINED_EVENTS: u64 = SEGMENT_EVENTS * (SEGMENTS - 1);

/// The register of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Group {
    /// The revision of the last change; [`Revision::NONE`] before the first.
    revision: Revision,
}

/// The register of a segment.
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

/// The registers with one more change.
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

/// The revision above this one at which a value was written to a cell, if that is among the last changes of the group:
/// callers repeat a call for some seconds only.
pub fn find(
    registers: &impl Registers,
    cell: &str,
    value: &str,
    after: Revision,
) -> Result<Option<Revision>, InvalidRegister> {
    let group = group_of(cell);
    let last = last_revision(registers, group)?;
    let encoded_value = serde_json::Value::from(value).to_string();
    let oldest = segment_of(after.next().max(oldest_kept(last)));
    let newest = segment_of(last);
    let searched = (oldest..=newest).rev().take(MAX_SEARCHED_SEGMENTS);
    for segment in searched {
        let key = segment_key(group, segment);
        // Most segments do not hold the value, and need no parsing.
        let may_hold = registers
            .content(&key)
            .is_some_and(|content| content.contains(&encoded_value));
        if !may_hold {
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

/// The changes above a revision; the caller waits if there are none. For [`Revision::NONE`], the present revision only.
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

/// The changes above a revision, the first [`MAX_RESPONSE_EVENTS`] or a few more, up to the first one that is missing: a
/// replica that does not lead may know later ones only.
fn events_after(
    registers: &impl Registers,
    group: &str,
    after: Revision,
    last: Revision,
) -> Result<Vec<CellEvent>, InvalidRegister> {
    let mut events = Vec::new();
    let mut next = after.next();
    for segment in segment_of(after.next())..=segment_of(last) {
        let segment: Segment = read(registers, &segment_key(group, segment))?;
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

/// The oldest revision that is kept when this one is the last.
fn oldest_kept(last: Revision) -> Revision {
    let oldest_segment = (segment_of(last) + 1).saturating_sub(SEGMENTS);
    Revision(oldest_segment * SEGMENT_EVENTS + 1)
}

fn is_first_of_segment(revision: Revision) -> bool {
    (revision.0 - 1).is_multiple_of(SEGMENT_EVENTS)
}

/// The number of the segment that holds a revision. Segments count on when their registers are used again.
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
