//! The slots of a group: each member number is assigned a position in a cycle, so that the members act one after
//! another and not all at once.

/// The part of the cycle, about the golden ratio, by which the slots of consecutive numbers lie apart: any run of
/// numbers is spread evenly, also when the group is smaller or larger than configured.
const GOLDEN_RATIO_STEP: f64 = 0.618_034;

/// The slot of member `number`, below `size`. Members with different numbers below `size` have different slots, since
/// the step has no factor in common with the size.
pub(crate) fn slot_of(number: u32, size: u32) -> u32 {
    let (number, size) = (u64::from(number % size), u64::from(size));
    let is_coprime = |step: &u64| greatest_common_divisor(*step, size) == 1;
    let step = ((size as f64 * GOLDEN_RATIO_STEP) as u64..size)
        .find(is_coprime)
        .unwrap_or(1);
    // Below the size, which came from a u32.
    (number * step % size) as u32
}

fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}
