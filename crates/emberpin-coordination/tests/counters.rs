//! Counters: numbers increase, and each counter has its own sequence.

mod memory;

use emberpin_coordination::Outcome;
use googletest::prelude::*;
use memory::Memory;

#[gtest]
fn each_counter_returns_its_own_increasing_numbers() {
    let mut memory = Memory::default();
    for value in 1..=3 {
        for counter in ["n", "m"] {
            let number = memory.next_number(counter);
            expect_that!(number, some(eq(&Outcome::Number { value })));
        }
    }
}
