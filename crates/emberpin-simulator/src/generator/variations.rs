//! Generates variations of the recorded scenarios, as a fuzzer mutates its corpus.
//!
//! Independent random choices rarely put several faults and calls into the few milliseconds in which one particular
//! safety check matters; the recorded scenarios do. A variation keeps the steps of a recorded scenario in their order
//! and changes seed, times or network, so that the search also covers the neighbourhood of known dangerous situations.

use super::ROSTER_COMPLETE_MS;
use crate::scenario::{parse, Scenario, Step};
use include_dir::{include_dir, Dir};
use oorandom::Rand64;
use std::fmt::Write;
use std::time::Duration;

/// The recorded scenarios.
static CORPUS: Dir<'static> = include_dir!("$CARGO_MANIFEST_DIR/scenarios");

/// Makes the random numbers of a variation differ from those of the seed's scenarios of other kinds.
const SEED_MASK: u128 = 0x7a_0000;
/// Every `EXACT_PERIOD`-th variation is exact: it keeps all times and expectations, and only the delays in the run
/// differ. The others change times, on which expectations depend.
const EXACT_PERIOD: u64 = 2;
/// The delay that is added to a step in a variation that changes times is below this.
const MAX_JITTER_MS: u64 = 4;
/// The pause that is added before one step is below this.
const MAX_ADDED_PAUSE_MS: u64 = 1_500;
/// Percentage of inexact variations that add a pause before one of their steps.
const PAUSE_PERCENT: u64 = 60;
/// Percentage of inexact variations on a network that delays and duplicates messages.
const DISTURBED_NETWORK_PERCENT: u64 = 30;

/// Generates the text of a seed's variation. `variation_index` selects the recorded scenario, and whether the variation
/// is exact.
pub(super) fn generate(seed: u64, variation_index: u64) -> String {
    let mut files: Vec<_> = CORPUS.files().collect();
    files.sort_by_key(|file| file.path());
    let file_index = (variation_index / EXACT_PERIOD) % files.len() as u64;
    let file = files[file_index as usize];
    let name = file.path().to_string_lossy();
    let text = file
        .contents_utf8()
        .expect("recorded scenarios are UTF-8: a test parses them");
    let scenario = parse(&name, text).expect("recorded scenarios are valid: a test parses them");
    Variation {
        random: Rand64::new(u128::from(seed) ^ SEED_MASK),
        is_exact: variation_index.is_multiple_of(EXACT_PERIOD),
        added_pause_ms: 0,
        last_at_ms: 0,
    }
    .text(seed, &name, &scenario)
}

/// A variation while it is generated.
struct Variation {
    random: Rand64,
    /// Whether times and expectations are kept.
    is_exact: bool,
    /// The added pause, by which all further steps are later.
    added_pause_ms: u64,
    /// The time of the previous step.
    last_at_ms: u64,
}

impl Variation {
    fn text(mut self, seed: u64, name: &str, scenario: &Scenario) -> String {
        let mut text = format!(
            "# A variation of {name}.\ncores {}\nlimiters {}\nzones {}\ntolerance {}\nseed {seed}\n",
            scenario.cores,
            scenario.proxies,
            scenario.zones.join(" "),
            scenario.tolerance
        );
        if !self.is_exact && self.chance(DISTURBED_NETWORK_PERCENT) {
            text.push_str("at 0ms network delay 1ms..5ms late 1% twice 2%\n");
        }
        let paused_step = self.paused_step(scenario);
        for (index, step) in scenario.steps.iter().enumerate() {
            if paused_step == Some(index) {
                self.added_pause_ms = self.draw_below(MAX_ADDED_PAUSE_MS);
            }
            if let Some(line) = self.varied(step) {
                let _ = writeln!(text, "{line}");
            }
        }
        let end_ms = (millis(scenario.end) + self.added_pause_ms).max(self.last_at_ms);
        let _ = writeln!(text, "end at {end_ms}ms");
        text
    }

    /// Chooses the step before which a pause is added, if any: one after the first roster is complete.
    fn paused_step(&mut self, scenario: &Scenario) -> Option<usize> {
        if self.is_exact || !self.chance(PAUSE_PERCENT) {
            return None;
        }
        let is_late = |step: &Step| millis(step.at) > ROSTER_COMPLETE_MS;
        let first = scenario.steps.iter().position(is_late)?;
        Some(first + self.draw_below((scenario.steps.len() - first) as u64) as usize)
    }

    /// The line of a step with its new time; `None` for an expectation that need not hold at a changed time.
    fn varied(&mut self, step: &Step) -> Option<String> {
        let (head, at_and_rest) = match step.text.strip_prefix("expect at ") {
            Some(_) if !self.is_exact => return None,
            Some(rest) => ("expect at", rest),
            None => ("at", step.text.strip_prefix("at ")?),
        };
        let (_, command) = at_and_rest.trim_start().split_once(char::is_whitespace)?;
        let jitter_ms = if self.is_exact {
            0
        } else {
            self.draw_below(MAX_JITTER_MS)
        };
        let at_ms = millis(step.at) + self.added_pause_ms + jitter_ms;
        self.last_at_ms = self.last_at_ms.max(at_ms);
        Some(format!("{head} {}ms {command}", self.last_at_ms))
    }

    fn draw_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound.max(1))
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.draw_below(100) < percent
    }
}

/// A time in milliseconds, as scenario files state it.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
