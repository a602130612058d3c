//! The model of register, searched within small bounds; `examples/search_model.rs` searches it whole.

#[path = "model/register.rs"]
mod register;

use googletest::prelude::*;
use register::{
    search, Action, Custody, Wrong, ACKNOWLEDGED, CAUGHT_UP, CHANGED, CHANGER, FIRST_WRITER, LOST,
    RECOVERER, REFUSED, SECOND_WRITER, TWO,
};

/// Nothing happens but these rounds; the tests add what they need.
fn quiet(order: &[u8]) -> Custody {
    Custody {
        order: order.to_vec(),
        wipes: 0,
        power_cuts: 0,
        told: 0,
        ..Custody::default()
    }
}

/// What happens at some time, in a search that finds nothing wrong.
fn sound(bounds: Custody) -> Vec<&'static str> {
    let found = search(bounds.clone(), 2);
    println!(
        "{} states, depth {}, in {bounds:?}",
        found.states, found.depth
    );
    expect_that!(found.violated, is_empty());
    found.happened
}

/// What a wrong build breaks, by the fewest steps. The two whole searches above and the last test show that
/// the sound one breaks nothing within the same bounds.
fn caught(wrong: Wrong, bounds: Custody) -> Option<&'static str> {
    let found = search(
        Custody {
            wrong: Some(wrong),
            ..bounds
        },
        1,
    );
    let (name, trace): (_, Vec<Action>) = found.violated.into_iter().next()?;
    println!(
        "{wrong:?} breaks \"{name}\" in {} steps, of {} states:",
        trace.len(),
        found.states
    );
    trace.iter().for_each(|action| println!("  {action:?}"));
    Some(name)
}

#[gtest]
fn a_lost_disk_loses_nothing() {
    let bounds = quiet(&[FIRST_WRITER, RECOVERER, SECOND_WRITER]);
    let happened = sound(Custody { wipes: 1, ..bounds });
    expect_that!(
        happened,
        unordered_elements_are![eq(&ACKNOWLEDGED), eq(&REFUSED), eq(&CAUGHT_UP)]
    );
}

#[gtest]
fn a_change_of_the_roster_loses_nothing() {
    let happened = sound(quiet(&[FIRST_WRITER, CHANGER, SECOND_WRITER]));
    expect_that!(
        happened,
        unordered_elements_are![eq(&ACKNOWLEDGED), eq(&REFUSED), eq(&CHANGED)]
    );
}

#[gtest]
fn a_voter_that_votes_after_it_lost_its_disk_is_caught() {
    let bounds = Custody {
        wipes: 1,
        ..quiet(&[FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(caught(Wrong::Amnesia, bounds), some(eq(LOST)));
}

#[gtest]
fn catching_up_without_a_promise_is_caught() {
    let bounds = Custody {
        wipes: 1,
        ..quiet(&[FIRST_WRITER, RECOVERER, SECOND_WRITER])
    };
    expect_that!(caught(Wrong::StaleCatchUp, bounds), some(eq(LOST)));
}

#[gtest]
fn a_promise_of_a_disk_that_was_lost_since_is_caught() {
    let bounds = Custody {
        wipes: 1,
        ..quiet(&[RECOVERER, FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(caught(Wrong::DeadPromise, bounds), some(eq(TWO)));
}

#[gtest]
fn catching_up_without_asking_who_caught_up_before_is_caught() {
    let bounds = Custody {
        shortest: false,
        wipes: 2,
        ..quiet(&[RECOVERER, RECOVERER, FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(caught(Wrong::ForgottenRenewals, bounds), some(eq(TWO)));
}

/// A proposal that was judged on a dead promise must not be accepted by anybody, as others take it for the latest.
#[gtest]
fn accepts_by_incarnations_in_place_of_promises_are_caught() {
    let bounds = Custody {
        shortest: false,
        wipes: 1,
        ..quiet(&[RECOVERER, FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    };
    expect_that!(caught(Wrong::FencedAccepts, bounds), some(eq(TWO)));
}

#[gtest]
fn a_change_by_the_old_majority_alone_is_caught() {
    let bounds = quiet(&[CHANGER, FIRST_WRITER, SECOND_WRITER]);
    expect_that!(caught(Wrong::OldMajorityAlone, bounds), some(eq(LOST)));
}

#[gtest]
fn a_change_that_takes_nothing_along_is_caught() {
    let bounds = quiet(&[FIRST_WRITER, CHANGER, SECOND_WRITER]);
    expect_that!(caught(Wrong::NoTransfer, bounds), some(eq(LOST)));
}

#[gtest]
fn leaving_what_may_be_chosen_is_caught() {
    expect_that!(
        caught(Wrong::NoCarry, quiet(&[FIRST_WRITER, SECOND_WRITER])),
        some(eq(LOST))
    );
}

#[gtest]
fn a_tie_that_the_ballot_does_not_decide_is_caught() {
    let bounds = quiet(&[SECOND_WRITER, FIRST_WRITER, SECOND_WRITER]);
    expect_that!(caught(Wrong::NoBallot, bounds), some(eq(LOST)));
}

#[gtest]
fn a_forgotten_ballot_is_caught() {
    let bounds = Custody {
        one_name: false,
        ..quiet(&[FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    };
    expect_that!(caught(Wrong::ForgottenBallot, bounds), some(eq(TWO)));
}

#[gtest]
fn accepted_before_the_sync_is_caught() {
    let bounds = Custody {
        power_cuts: 1,
        ..quiet(&[FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(caught(Wrong::NoSync, bounds), some(eq(LOST)));
}

#[gtest]
fn a_promise_not_kept_is_caught() {
    expect_that!(
        caught(Wrong::NoPromise, quiet(&[FIRST_WRITER, SECOND_WRITER])),
        some(eq(TWO))
    );
}

#[gtest]
fn without_a_wrong_part_nothing_is_caught_within_these_bounds() {
    let writers = quiet(&[FIRST_WRITER, SECOND_WRITER]);
    sound(writers.clone());
    sound(Custody {
        wipes: 1,
        ..writers.clone()
    });
    sound(Custody {
        power_cuts: 1,
        ..writers
    });
    sound(Custody {
        wipes: 1,
        ..quiet(&[RECOVERER, FIRST_WRITER, SECOND_WRITER])
    });
    sound(quiet(&[CHANGER, FIRST_WRITER, SECOND_WRITER]));
    sound(quiet(&[SECOND_WRITER, FIRST_WRITER, SECOND_WRITER]));
    sound(Custody {
        one_name: false,
        ..quiet(&[FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    });
}

#[gtest]
fn what_the_search_drops_hides_nothing() {
    let bounds = Custody {
        reduced: false,
        ..quiet(&[FIRST_WRITER, RECOVERER, SECOND_WRITER])
    };
    sound(Custody {
        wipes: 1,
        ..bounds.clone()
    });
    sound(Custody {
        order: vec![FIRST_WRITER, CHANGER, SECOND_WRITER],
        ..bounds
    });
}
