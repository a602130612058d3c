//! Counters.

mod memory;

use emberpin_coordination::Outcome;
use googletest::prelude::*;
use memory::Memory;

#[gtest]
fn each_counter_gives_rising_numbers_of_its_own() {
    let mut memory = Memory::default();
    for value in 1..=3 {
        for counter in ["n", "m"] {
            let number = memory.next_number(counter);
            expect_that!(number, some(eq(&Outcome::Number { value })));
        }
    }
}
