//! Searches the model of the protocol within small bounds; `examples/search_model.rs` searches larger ones. The
//! unchanged protocol must have no violation, and each mutation that breaks a property must be detected.

#[path = "model/register.rs"]
mod register;

use googletest::prelude::*;
use register::{
    search, Action, Mutation, RegisterModel, ACKNOWLEDGED, CAUGHT_UP, FIRST_WRITER,
    LED_ROUND_CHOSEN, NO_CONFLICT_CHOSEN, NO_STALE_READ, RECOVERING, REJECTED, ROSTER_CHANGED,
    ROSTER_CHANGER, SECOND_WRITER,
};

/// A model with these rounds and no faults; the tests add the faults that they need.
fn only_rounds(order: &[u8]) -> RegisterModel {
    RegisterModel {
        order: order.to_vec(),
        disk_losses: 0,
        power_losses: 0,
        spread_items: 0,
        ..RegisterModel::default()
    }
}

/// Searches, and expects no violation. Returns the `sometimes` properties that were reached.
fn search_without_violation(bounds: RegisterModel) -> Vec<&'static str> {
    let result = search(bounds.clone(), 2);
    println!(
        "{} states, depth {}, in {bounds:?}",
        result.states, result.depth
    );
    expect_that!(result.violated, is_empty());
    expect_that!(result.complete, eq(true));
    result.reached
}

/// The property that a mutation violates. Other tests show that without a mutation no property is violated within the
/// same bounds.
fn violation_with(mutation: Mutation, bounds: RegisterModel) -> Option<&'static str> {
    let result = search(
        RegisterModel {
            mutation: Some(mutation),
            ..bounds
        },
        1,
    );
    let (name, trace): (_, Vec<Action>) = result.violated.into_iter().next()?;
    println!(
        "{mutation:?} violates \"{name}\" in {} steps, of {} states:",
        trace.len(),
        result.states
    );
    trace.iter().for_each(|action| println!("  {action:?}"));
    Some(name)
}

#[gtest]
fn lost_disk_loses_no_acknowledged_item() {
    let bounds = only_rounds(&[FIRST_WRITER, RECOVERING, SECOND_WRITER]);
    let reached = search_without_violation(RegisterModel {
        disk_losses: 1,
        ..bounds
    });
    expect_that!(
        reached,
        unordered_elements_are![eq(&ACKNOWLEDGED), eq(&REJECTED), eq(&CAUGHT_UP)]
    );
}

#[gtest]
fn roster_change_loses_no_acknowledged_item() {
    let reached =
        search_without_violation(only_rounds(&[FIRST_WRITER, ROSTER_CHANGER, SECOND_WRITER]));
    expect_that!(
        reached,
        unordered_elements_are![eq(&ACKNOWLEDGED), eq(&REJECTED), eq(&ROSTER_CHANGED)]
    );
}

#[gtest]
fn search_detects_voting_before_catching_up() {
    let bounds = RegisterModel {
        disk_losses: 1,
        ..only_rounds(&[FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(
        violation_with(Mutation::VoteBeforeCatchUp, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_catching_up_without_promises() {
    let bounds = RegisterModel {
        disk_losses: 1,
        ..only_rounds(&[FIRST_WRITER, RECOVERING, SECOND_WRITER])
    };
    expect_that!(
        violation_with(Mutation::CatchUpWithoutPromises, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_counting_stale_promises() {
    let bounds = RegisterModel {
        disk_losses: 1,
        ..only_rounds(&[RECOVERING, FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(
        violation_with(Mutation::CountStalePromises, bounds),
        some(eq(NO_CONFLICT_CHOSEN))
    );
}

#[gtest]
fn search_detects_forgotten_incarnations() {
    let bounds = RegisterModel {
        shortest: false,
        disk_losses: 2,
        ..only_rounds(&[RECOVERING, RECOVERING, FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(
        violation_with(Mutation::ForgetIncarnations, bounds),
        some(eq(NO_CONFLICT_CHOSEN))
    );
}

/// Checking incarnations when a voter accepts is not enough: a proposal based on a stale promise must not be accepted
/// by any voter, as other proposers would take it for the latest one.
#[gtest]
fn search_detects_checking_incarnations_on_accept_only() {
    let bounds = RegisterModel {
        shortest: false,
        disk_losses: 1,
        ..only_rounds(&[RECOVERING, FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    };
    expect_that!(
        violation_with(Mutation::CheckIncarnationsOnAcceptOnly, bounds),
        some(eq(NO_CONFLICT_CHOSEN))
    );
}

#[gtest]
fn search_detects_roster_change_by_the_old_majority_alone() {
    let bounds = only_rounds(&[ROSTER_CHANGER, FIRST_WRITER, SECOND_WRITER]);
    expect_that!(
        violation_with(Mutation::OldMajorityAlone, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_roster_change_without_transfer() {
    let bounds = only_rounds(&[FIRST_WRITER, ROSTER_CHANGER, SECOND_WRITER]);
    expect_that!(
        violation_with(Mutation::NoTransfer, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_dropped_accepted_proposals() {
    expect_that!(
        violation_with(
            Mutation::NoReproposal,
            only_rounds(&[FIRST_WRITER, SECOND_WRITER])
        ),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_ignored_ballot_order() {
    let bounds = only_rounds(&[SECOND_WRITER, FIRST_WRITER, SECOND_WRITER]);
    expect_that!(
        violation_with(Mutation::IgnoreBallotOrder, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_forgotten_accepted_ballot() {
    let bounds = RegisterModel {
        same_version: false,
        ..only_rounds(&[FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    };
    expect_that!(
        violation_with(Mutation::ForgetAcceptedBallot, bounds),
        some(eq(NO_CONFLICT_CHOSEN))
    );
}

#[gtest]
fn search_detects_answers_before_the_sync() {
    let bounds = RegisterModel {
        power_losses: 1,
        ..only_rounds(&[FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(
        violation_with(Mutation::AnswerBeforeSync, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_broken_promises() {
    expect_that!(
        violation_with(
            Mutation::BreakPromises,
            only_rounds(&[FIRST_WRITER, SECOND_WRITER])
        ),
        some(eq(NO_CONFLICT_CHOSEN))
    );
}

#[gtest]
fn protocol_without_mutation_has_no_violation_within_these_bounds() {
    let writers = only_rounds(&[FIRST_WRITER, SECOND_WRITER]);
    search_without_violation(writers.clone());
    search_without_violation(RegisterModel {
        disk_losses: 1,
        ..writers.clone()
    });
    search_without_violation(RegisterModel {
        power_losses: 1,
        ..writers
    });
    search_without_violation(RegisterModel {
        disk_losses: 1,
        ..only_rounds(&[RECOVERING, FIRST_WRITER, SECOND_WRITER])
    });
    search_without_violation(only_rounds(&[ROSTER_CHANGER, FIRST_WRITER, SECOND_WRITER]));
    search_without_violation(only_rounds(&[SECOND_WRITER, FIRST_WRITER, SECOND_WRITER]));
    search_without_violation(RegisterModel {
        same_version: false,
        ..only_rounds(&[FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    });
}

#[gtest]
fn search_without_reduction_has_no_violation() {
    let bounds = RegisterModel {
        reduced: false,
        ..only_rounds(&[FIRST_WRITER, RECOVERING, SECOND_WRITER])
    };
    search_without_violation(RegisterModel {
        disk_losses: 1,
        ..bounds.clone()
    });
    search_without_violation(RegisterModel {
        order: vec![FIRST_WRITER, ROSTER_CHANGER, SECOND_WRITER],
        ..bounds
    });
}

/// A model in which the first writer leads: each of its rounds after the first one may do without a phase 1.
fn led_rounds(order: &[u8]) -> RegisterModel {
    RegisterModel {
        leaders: 1,
        ..only_rounds(order)
    }
}

#[gtest]
fn led_rounds_lose_no_acknowledged_item() {
    let reached = search_without_violation(RegisterModel {
        power_losses: 1,
        ..led_rounds(&[FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    });
    expect_that!(
        reached,
        unordered_elements_are![eq(&ACKNOWLEDGED), eq(&REJECTED), eq(&LED_ROUND_CHOSEN)]
    );
    search_without_violation(RegisterModel {
        power_losses: 1,
        spread_items: 2,
        ..led_rounds(&[FIRST_WRITER, FIRST_WRITER, SECOND_WRITER])
    });
}

#[gtest]
fn led_rounds_around_a_lost_disk_lose_no_acknowledged_item() {
    let reached = search_without_violation(RegisterModel {
        disk_losses: 1,
        ..led_rounds(&[FIRST_WRITER, RECOVERING, FIRST_WRITER])
    });
    expect_that!(
        reached,
        unordered_elements_are![eq(&ACKNOWLEDGED), eq(&CAUGHT_UP), eq(&LED_ROUND_CHOSEN)]
    );
}

#[gtest]
fn led_rounds_around_a_roster_change_lose_no_acknowledged_item() {
    let reached = search_without_violation(led_rounds(&[
        FIRST_WRITER,
        FIRST_WRITER,
        ROSTER_CHANGER,
        SECOND_WRITER,
    ]));
    expect_that!(
        reached,
        unordered_elements_are![
            eq(&ACKNOWLEDGED),
            eq(&REJECTED),
            eq(&ROSTER_CHANGED),
            eq(&LED_ROUND_CHOSEN)
        ]
    );
}

#[gtest]
fn search_detects_reporting_the_promise_of_the_next_ballot_before_its_sync() {
    let bounds = RegisterModel {
        power_losses: 1,
        ..led_rounds(&[FIRST_WRITER, SECOND_WRITER, FIRST_WRITER])
    };
    expect_that!(
        violation_with(Mutation::AnswerBeforePromiseSync, bounds),
        some(eq(NO_CONFLICT_CHOSEN))
    );
}

#[gtest]
fn search_detects_proposals_without_the_items_of_the_last_round() {
    let bounds = led_rounds(&[FIRST_WRITER, FIRST_WRITER, SECOND_WRITER]);
    expect_that!(
        violation_with(Mutation::OmitLastItems, bounds),
        some(eq(NO_STALE_READ))
    );
}

/// Items that voters learn outside of rounds may be lost with the power, as they are written without a sync.
#[gtest]
fn search_detects_proposals_without_last_items_that_all_voters_have_learned() {
    let bounds = RegisterModel {
        power_losses: 1,
        spread_items: 2,
        ..led_rounds(&[FIRST_WRITER, FIRST_WRITER, SECOND_WRITER])
    };
    expect_that!(
        violation_with(Mutation::OmitLearnedItems, bounds),
        some(eq(NO_STALE_READ))
    );
}

#[gtest]
fn search_detects_a_roster_change_by_a_led_round() {
    let bounds = led_rounds(&[FIRST_WRITER, FIRST_WRITER, SECOND_WRITER]);
    expect_that!(
        violation_with(Mutation::LeadRosterChange, bounds),
        some(eq(NO_STALE_READ))
    );
}

/// Searches with a mutation that violates no property, but reaches states that are not reached without it.
fn search_with_harmless_mutation(mutation: Mutation, bounds: RegisterModel) {
    let without = RegisterModel {
        reduced: false,
        ..bounds
    };
    let with = RegisterModel {
        mutation: Some(mutation),
        ..without.clone()
    };
    let (without, with) = (search(without, 2), search(with, 2));
    println!(
        "{mutation:?}: {} states, {} without it",
        with.states, without.states
    );
    expect_that!(without.violated, is_empty());
    expect_that!(with.violated, is_empty());
    expect_that!((with.complete, without.complete), eq((true, true)));
    expect_that!(with.states, gt(without.states));
}

/// A voter may promise the next ballot of a leader whose proposal is chosen, lose its disk, and catch up. It catches up
/// at a higher ballot than the promised one, and accepts no lower one. So its promise is kept whether or not the leader
/// counts it.
#[gtest]
fn counting_void_promises_of_the_next_ballot_violates_nothing() {
    let bounds = RegisterModel {
        disk_losses: 1,
        ..led_rounds(&[RECOVERING, FIRST_WRITER, FIRST_WRITER, SECOND_WRITER])
    };
    search_with_harmless_mutation(Mutation::CountStaleNextPromises, bounds);
}

/// A change of the roster that is chosen after the next ballot was promised has a higher ballot, which a majority of
/// the new roster has promised.
#[gtest]
fn leading_with_the_next_ballot_of_a_replaced_roster_violates_nothing() {
    let bounds = RegisterModel {
        spread_items: 1,
        ..led_rounds(&[FIRST_WRITER, FIRST_WRITER, ROSTER_CHANGER])
    };
    search_with_harmless_mutation(Mutation::LeadAfterRosterChange, bounds);
}
