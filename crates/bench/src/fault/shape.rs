//! The load changes of some scenarios.

use super::Scenario;
use crate::testbed::{Kind, Misdeclaration, Testbed};
use shallotflow_core::class::Class;
use std::time::Duration;

const WAVE_FACTOR: u32 = 4;
const STRAGGLER_SHARE: u32 = 150;
const IMPOSSIBLE_SHARE: u32 = 100;
const CANCELLED_SHARE: u32 = 700;
const RISE: Duration = Duration::from_millis(500);

/// When faults begin, in thousandths of a run.
pub const BEGIN: u32 = 250;
/// When faults end, in thousandths of a run.
pub const END: u32 = 600;

/// Changes the batch kinds of `testbed` as `scenario` requires.
pub fn apply(scenario: Scenario, testbed: &mut Testbed) {
    let batch = testbed.kinds.iter_mut().filter(|kind| kind.class == Class::Batch);
    for kind in batch {
        match scenario {
            Scenario::NoisyWave => wave(kind),
            Scenario::Stragglers => kind.straggler_share = STRAGGLER_SHARE,
            Scenario::WrongSizes => kind.misdeclaration = Misdeclaration::WrongSizes,
            Scenario::ImpossibleJobs => kind.impossible_share = IMPOSSIBLE_SHARE,
            Scenario::CancelWave => kind.cancelled_share = CANCELLED_SHARE,
            _ => {}
        }
    }
}

fn wave(kind: &mut Kind) {
    kind.wave.start = BEGIN;
    kind.wave.length = (END - BEGIN) / 2;
    kind.wave.rise = RISE;
    kind.wave.factor = WAVE_FACTOR;
}
