//! Encoding of the messages between gateways. No decision is taken here.
//!
//! A message is the version byte, the sender's incarnation (4 bytes, big endian), its attempts in flight and its
//! answers per second (one byte each, on a logarithmic scale of 16 steps per doubling), then entries. An entry is a
//! tag and 4 bytes of the customer's hash, followed by a probability (one byte) for [`Entry::Advice`], or by four
//! numbers of variable length for [`Entry::Count`]: the set's first gateway, its size, and the units admitted and
//! requested, in halves.

use crate::interface::Millis;

/// Largest size of a message in bytes.
pub const MAX_BYTES: usize = 256;
const VERSION: u8 = 2;
/// Size of the header: version, incarnation, attempts in flight and answers per second.
const HEADER_BYTES: usize = 7;
/// Encoded steps for each doubling of a load value.
const STEPS_PER_DOUBLING: f64 = 16.0;
const CUSTOMER_BYTES: usize = 4;
/// The tag of an advice entry; a smaller tag is the plan of a count entry.
const ADVICE_TAG: u8 = 128;
/// The bits of a customer's hash that are sent; gateways identify a customer by them.
pub const ID_MASK: u64 = (1 << (8 * CUSTOMER_BYTES)) - 1;
/// Units are sent in halves.
const PARTS_PER_UNIT: f64 = 2.0;
/// A probability is sent as a multiple of one over this.
const PROBABILITY_PARTS: f64 = 255.0;
/// Largest size in bytes of a number of variable length, which has seven bits in each byte.
const MAX_NUMBER_BYTES: usize = 6;
/// Upper bound on how far a peer's clock is ahead, in milliseconds.
const MAX_CLOCK_AHEAD: u64 = 86_400_000;

/// One entry of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entry {
    /// Units of a customer that were requested of the sender and that it admitted.
    Count {
        /// The customer's hash, within [`ID_MASK`].
        customer: u64,
        /// Index of its plan, below 128.
        plan: usize,
        /// The first gateway of its set.
        first: u32,
        /// Number of gateways in the set.
        size: u32,
        /// Units that the sender admitted since its start. Cumulative, so that the next message makes up for a lost
        /// one.
        units: f64,
        /// Units that were requested of the sender since its last count.
        requested: f64,
    },
    /// Advice on the probability with which to admit a customer's requests.
    Advice {
        /// The customer's hash, within [`ID_MASK`].
        customer: u64,
        /// The probability, from 0 to 1.
        probability: f64,
    },
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The low 32 bits of the sender's incarnation, see [`full_incarnation`].
    pub incarnation: u32,
    /// The sender's attempts in flight.
    pub in_flight: f64,
    /// The sender's answers per second.
    pub throughput: f64,
    /// Customers' counts and advice.
    pub entries: Vec<Entry>,
}

/// Reconstructs an incarnation (the start of a gateway in milliseconds) from its low 32 bits: the latest one that
/// fits, by the clock that all gateways share. If incarnations were truncated or saturated instead, they would look
/// alike after a restart, and the peers would refund units that were used.
pub fn full_incarnation(low: u32, now: Millis) -> u64 {
    let latest = now.max(0.0) as u64 + MAX_CLOCK_AHEAD;
    latest
        .checked_sub(u64::from((latest as u32).wrapping_sub(low)))
        .unwrap_or(u64::from(low))
}

/// Builds one message within [`MAX_BYTES`].
#[derive(Clone, Debug)]
pub struct MessageBuilder(Vec<u8>);

impl MessageBuilder {
    /// Starts a message with the sender's incarnation, attempts in flight and answers per second.
    pub fn new(incarnation: u32, in_flight: f64, throughput: f64) -> MessageBuilder {
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&incarnation.to_be_bytes());
        let encode_load = |value: f64| {
            ((1.0 + value.max(0.0)).log2() * STEPS_PER_DOUBLING)
                .round()
                .min(255.0) as u8
        };
        bytes.extend_from_slice(&[encode_load(in_flight), encode_load(throughput)]);
        MessageBuilder(bytes)
    }

    /// Appends an entry; returns `false` and appends nothing if it does not fit.
    pub fn push(&mut self, entry: Entry) -> bool {
        let mut bytes = Vec::with_capacity(24);
        let id = |customer: u64| (customer as u32).to_be_bytes();
        match entry {
            Entry::Count {
                customer,
                plan,
                first,
                size,
                units,
                requested,
            } => {
                bytes.push(plan.min(usize::from(ADVICE_TAG) - 1) as u8);
                bytes.extend_from_slice(&id(customer));
                for value in [
                    f64::from(first),
                    f64::from(size),
                    units * PARTS_PER_UNIT,
                    requested * PARTS_PER_UNIT,
                ] {
                    write_number(&mut bytes, value);
                }
            }
            Entry::Advice {
                customer,
                probability,
            } => {
                bytes.push(ADVICE_TAG);
                bytes.extend_from_slice(&id(customer));
                bytes.push((probability.clamp(0.0, 1.0) * PROBABILITY_PARTS).round() as u8);
            }
        }
        let fits = self.0.len() + bytes.len() <= MAX_BYTES;
        if fits {
            self.0.extend_from_slice(&bytes);
        }
        fits
    }

    /// Whether the message has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.len() == HEADER_BYTES
    }

    /// The finished bytes.
    pub fn finish(self) -> Vec<u8> {
        self.0
    }
}

/// Decodes a message; `None` if it is garbled, truncated, oversized or of another version, or if a load value is
/// the largest code, which stands for any value beyond the range.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    if bytes.len() > MAX_BYTES || bytes.len() < HEADER_BYTES || bytes[0] != VERSION {
        return None;
    }
    if bytes[5..HEADER_BYTES].contains(&u8::MAX) {
        return None;
    }
    let decode_load = |code: u8| (f64::from(code) / STEPS_PER_DOUBLING).exp2() - 1.0;
    let mut rest = &bytes[HEADER_BYTES..];
    let mut entries = Vec::new();
    while !rest.is_empty() {
        entries.push(read_entry(&mut rest)?);
    }
    Some(Message {
        incarnation: u32::from_be_bytes(bytes[1..5].try_into().ok()?),
        in_flight: decode_load(bytes[5]),
        throughput: decode_load(bytes[6]),
        entries,
    })
}

fn read_entry(rest: &mut &[u8]) -> Option<Entry> {
    let tag = read_byte(rest)?;
    let (hash, remaining) = rest.split_at_checked(CUSTOMER_BYTES)?;
    *rest = remaining;
    let customer = u64::from(u32::from_be_bytes(hash.try_into().ok()?));
    if tag == ADVICE_TAG {
        let probability = f64::from(read_byte(rest)?) / PROBABILITY_PARTS;
        return Some(Entry::Advice {
            customer,
            probability,
        });
    }
    if tag > ADVICE_TAG {
        return None;
    }
    Some(Entry::Count {
        customer,
        plan: usize::from(tag),
        first: read_number(rest)?.min(1 << 31) as u32,
        size: read_number(rest)?.min(1 << 31) as u32,
        units: read_number(rest)? as f64 / PARTS_PER_UNIT,
        requested: read_number(rest)? as f64 / PARTS_PER_UNIT,
    })
}

fn read_byte(rest: &mut &[u8]) -> Option<u8> {
    let (byte, remaining) = rest.split_first()?;
    *rest = remaining;
    Some(*byte)
}

/// Writes a number in groups of seven bits, the lowest first; the high bit of a byte is set if another follows.
fn write_number(bytes: &mut Vec<u8>, value: f64) {
    let largest = (1 << (7 * MAX_NUMBER_BYTES)) - 1;
    let mut value = (value.max(0.0).round() as u64).min(largest);
    while value > 0x7f {
        bytes.push((value & 0x7f) as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

/// Reads a number that [`write_number`] wrote; `None` if it is truncated or too long.
fn read_number(rest: &mut &[u8]) -> Option<u64> {
    let mut value = 0u64;
    for group in 0..MAX_NUMBER_BYTES {
        let byte = read_byte(rest)?;
        value |= u64::from(byte & 0x7f) << (7 * group);
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}
