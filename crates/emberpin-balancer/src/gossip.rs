//! Byte layout of the messages between gateways; no decision is taken here.
//!
//! A message is the version byte, the sender's life (4 bytes, big endian), its attempts outstanding
//! and answers a second (a byte each, in steps of a sixteenth of a doubling), then entries: a
//! tag, 4 bytes of customer hash, and a chance (one byte) or the set and half units as numbers.

/// Most bytes that one message may have.
pub const MAX_BYTES: usize = 256;
const VERSION: u8 = 2;
const HEADER: usize = 7;
const STEPS: f64 = 16.0;
const ID_BYTES: usize = 4;
/// The tag of an advice; a smaller one is the plan of a count.
const ADVICE: u8 = 128;
/// The part of a customer hash that travels.
pub const ID_MASK: u64 = (1 << (8 * ID_BYTES)) - 1;
const SCALE: f64 = 2.0;
/// A peer's clock is ahead by no more than this, in milliseconds.
const MAX_AHEAD: u64 = 86_400_000;

/// One item of news.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entry {
    /// What the sender was asked for and let in for a customer.
    Count {
        /// The customer's hash, within [`ID_MASK`].
        customer: u64,
        /// Its plan, below 128.
        plan: usize,
        /// The first gateway of its set.
        first: u32,
        /// How many gateways the set has.
        size: u32,
        /// Units let in.
        units: f64,
        /// Units asked for.
        asked: f64,
    },
    /// With what chance to let a customer in.
    Advice {
        /// The customer's hash, within [`ID_MASK`].
        customer: u64,
        /// The chance, from 0 to 1.
        chance: f64,
    },
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's life: when it started, on its clock; the low 32 bits, see [`whole_life`].
    pub life: u32,
    /// Its attempts outstanding.
    pub out: f64,
    /// Its answers a second.
    pub rate: f64,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// A life of which only the low 32 bits came, in whole milliseconds: the latest that fits, going by the
/// clock that all share. Guards against lives that saturate and look alike after a restart.
pub fn whole_life(low: u32, now: f64) -> u64 {
    let latest = now.max(0.0) as u64 + MAX_AHEAD;
    latest
        .checked_sub(u64::from((latest as u32).wrapping_sub(low)))
        .unwrap_or(u64::from(low))
}

/// Builds one message within [`MAX_BYTES`].
#[derive(Clone, Debug)]
pub struct Writer(Vec<u8>);

impl Writer {
    /// Starts a message of the given life, with the sender's attempts outstanding and answers a second.
    pub fn new(life: u32, out: f64, rate: f64) -> Writer {
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&life.to_be_bytes());
        let step = |value: f64| ((1.0 + value.max(0.0)).log2() * STEPS).round().min(255.0) as u8;
        bytes.extend_from_slice(&[step(out), step(rate)]);
        Writer(bytes)
    }

    /// Appends an entry; `false` when it does not fit, and nothing is appended then.
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
                asked,
            } => {
                bytes.push(plan.min(usize::from(ADVICE) - 1) as u8);
                bytes.extend_from_slice(&id(customer));
                for value in [
                    f64::from(first),
                    f64::from(size),
                    units * SCALE,
                    asked * SCALE,
                ] {
                    write_number(&mut bytes, value);
                }
            }
            Entry::Advice { customer, chance } => {
                bytes.push(ADVICE);
                bytes.extend_from_slice(&id(customer));
                bytes.push((chance.clamp(0.0, 1.0) * 255.0).round() as u8);
            }
        }
        let fits = self.0.len() + bytes.len() <= MAX_BYTES;
        if fits {
            self.0.extend_from_slice(&bytes);
        }
        fits
    }

    /// Whether no entry was appended.
    pub fn is_empty(&self) -> bool {
        self.0.len() == HEADER
    }

    /// The finished bytes.
    pub fn finish(self) -> Vec<u8> {
        self.0
    }
}

/// Reads a message; `None` for anything garbled, truncated, oversized or of another version, or that tells
/// more attempts or answers than can be counted.
pub fn read(bytes: &[u8]) -> Option<Message> {
    if bytes.len() > MAX_BYTES || bytes.len() < HEADER || bytes[0] != VERSION {
        return None;
    }
    if bytes[5..HEADER].contains(&u8::MAX) {
        return None;
    }
    let life = u32::from_be_bytes(bytes[1..5].try_into().ok()?);
    let value = |step: u8| (f64::from(step) / STEPS).exp2() - 1.0;
    let (out, rate) = (value(bytes[5]), value(bytes[6]));
    let mut rest = &bytes[HEADER..];
    let mut entries = Vec::new();
    while let Some((tag, after)) = rest.split_first() {
        let customer = u64::from(u32::from_be_bytes(after.get(..ID_BYTES)?.try_into().ok()?));
        rest = &after[ID_BYTES..];
        entries.push(if *tag == ADVICE {
            let (chance, after) = rest.split_first()?;
            rest = after;
            Entry::Advice {
                customer,
                chance: f64::from(*chance) / 255.0,
            }
        } else if *tag < ADVICE {
            let mut number = || read_number(&mut rest);
            let (first, size) = (number()?.min(1 << 31) as u32, number()?.min(1 << 31) as u32);
            let (units, asked) = (number()? as f64 / SCALE, number()? as f64 / SCALE);
            Entry::Count {
                customer,
                plan: usize::from(*tag),
                first,
                size,
                units,
                asked,
            }
        } else {
            return None;
        });
    }
    Some(Message {
        life,
        out,
        rate,
        entries,
    })
}

/// Seven bits a byte, the lowest first; at most six bytes.
fn write_number(bytes: &mut Vec<u8>, value: f64) {
    let mut value = (value.max(0.0).round() as u64).min((1 << 42) - 1);
    while value > 0x7f {
        bytes.push((value & 0x7f) as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn read_number(rest: &mut &[u8]) -> Option<u64> {
    let mut value = 0u64;
    for place in 0..6 {
        let (byte, after) = rest.split_first()?;
        *rest = after;
        value |= u64::from(byte & 0x7f) << (7 * place);
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}
