use super::Settings;
use super::remnant::Remnant;
use super::worker::Placed;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::collections::BTreeMap;

/// Cost of each serving task of another image at a worker.
const OTHER_IMAGE_COST: f64 = 0.05;
/// Gain of each serving task of the same image at a worker.
const SAME_IMAGE_GAIN: f64 = 0.1;
/// Gain of a worker with fully used processors over an idle one.
const FULL_WORKER_GAIN: f64 = 1.0;

/// What the runs of a worker reserve and are expected to use, kept up to date with each run.
///
/// Sums are integers, so that adding and removing a run leaves no rounding error behind.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Load {
    reserved: Bundle,
    /// Processors that serving tasks request, thousandths of a processor.
    serving_millicores: u64,
    /// Processors that other tasks request, thousandths of a processor.
    other_millicores: u64,
    /// Number of serving tasks by image.
    pub(super) serving: BTreeMap<Name, u32>,
    /// Number of runs whose need is not known.
    unknown: u32,
    /// Number of best-effort tasks by image, and the processors that they request in sum.
    best_effort: BTreeMap<Name, (u32, u64)>,
}

impl Load {
    /// Adds a run.
    pub(super) fn add(&mut self, placed: &Placed) {
        let demand = placed.demand();
        let millicores = u64::from(placed.need.millicores);
        self.reserved = self.reserved.plus(&demand.reserved());
        *self.millicores(demand.serving) += millicores;
        if demand.best_effort {
            let (runs, sum) = self.best_effort.entry(placed.image_name()).or_default();
            (*runs, *sum) = (*runs + 1, *sum + millicores);
        } else if demand.serving {
            *self.serving.entry(placed.image_name()).or_default() += 1;
        }
    }

    /// Removes a run that was added before.
    pub(super) fn remove(&mut self, placed: &Placed) {
        let demand = placed.demand();
        let millicores = u64::from(placed.need.millicores);
        self.reserved = self.reserved.minus(&demand.reserved());
        *self.millicores(demand.serving) -= millicores;
        let image = placed.image_name();
        if demand.best_effort {
            if let Some((runs, sum)) = self.best_effort.get_mut(&image) {
                (*runs, *sum) = (*runs - 1, *sum - millicores);
                if *runs == 0 {
                    self.best_effort.remove(&image);
                }
            }
        } else if demand.serving
            && let Some(runs) = self.serving.get_mut(&image)
        {
            *runs -= 1;
            if *runs == 0 {
                self.serving.remove(&image);
            }
        }
    }

    /// Adds a run that is the current run of no task.
    pub(super) fn add_remnant(&mut self, remnant: &Remnant) {
        match &remnant.placed {
            Some(placed) => self.add(placed),
            None => self.unknown += 1,
        }
    }

    /// Removes such a run that was added before.
    pub(super) fn remove_remnant(&mut self, remnant: &Remnant) {
        match &remnant.placed {
            Some(placed) => self.remove(placed),
            None => self.unknown -= 1,
        }
    }

    fn millicores(&mut self, serving: bool) -> &mut u64 {
        if serving { &mut self.serving_millicores } else { &mut self.other_millicores }
    }

    /// Returns whether the runs and `need` more stay within `capacity`: what exceeds it in one
    /// resource, because the capacity has shrunk, gets nothing of the others either. Beside a run
    /// whose need is not known, there is no room.
    pub(super) fn has_room(&self, capacity: &Bundle, need: &Bundle) -> bool {
        self.unknown == 0 && capacity.holds(&self.reserved.plus(need))
    }

    /// Returns how often there is room for `need` beside the runs, up to `most`.
    pub(super) fn rooms(&self, capacity: &Bundle, need: &Bundle, most: u32) -> u32 {
        if self.unknown > 0 {
            return 0;
        }
        let mut reserved = self.reserved;
        let mut rooms = 0;
        while rooms < most {
            reserved = reserved.plus(need);
            if !capacity.holds(&reserved) {
                break;
            }
            rooms += 1;
        }
        rooms
    }

    /// Returns whether there would be room for `need` if no run with an unknown need were there.
    pub(super) fn has_room_but_for_unknown(&self, capacity: &Bundle, need: &Bundle) -> bool {
        self.unknown > 0 && capacity.holds(&self.reserved.plus(need))
    }

    /// Returns whether any best-effort task runs.
    pub(super) fn has_best_effort(&self) -> bool {
        !self.best_effort.is_empty()
    }

    /// Returns the images of best-effort tasks, with their shares of the processors.
    pub(super) fn best_effort(&self, capacity: Bundle) -> impl Iterator<Item = (&Name, f64)> {
        self.best_effort.iter().map(move |(image, (_, sum))| {
            #[allow(clippy::cast_precision_loss)]
            let share = *sum as f64 / f64::from(capacity.millicores.max(1));
            (image, share)
        })
    }

    /// Returns the expected processor use with `extra` thousandths of a processor added, as a share of
    /// the capacity.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn pressure(&self, extra: f64, capacity: &Bundle, settings: &Settings) -> f64 {
        let serving = self.serving_millicores as f64 * settings.serving_use;
        let used = self.other_millicores as f64 + serving;
        (used + extra) / f64::from(capacity.millicores.max(1))
    }

    /// Returns the processors that runs reserve, thousandths of a processor; best-effort tasks reserve
    /// none.
    pub(super) fn reserved_millicores(&self) -> u64 {
        u64::from(self.reserved.millicores)
    }

    /// Returns the processors that the worker leaves to best-effort tasks, and those of them that no
    /// task is expected to use, thousandths of a processor.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn spare(&self, capacity: &Bundle, settings: &Settings) -> (u64, u64) {
        let best_effort: u64 = self.best_effort.values().map(|(_, sum)| *sum).sum();
        let serving = (self.serving_millicores as f64 * settings.serving_use) as u64;
        let limit = (f64::from(capacity.millicores) * settings.best_effort_limit) as u64;
        let other = self.other_millicores - best_effort;
        let spare = limit.saturating_sub(serving + other);
        (spare, spare.saturating_sub(best_effort))
    }

    /// Returns the score of the worker for a serving task of `image`; lower is better.
    ///
    /// A best-effort task disturbs some images much and others little. Serving tasks are packed, by
    /// image where possible, so that other workers stay free for best-effort tasks.
    pub(super) fn serving_cost(&self, image: Option<&Name>, pressure: f64) -> f64 {
        let same = image.and_then(|image| self.serving.get(image)).copied().unwrap_or(0);
        let others = self.serving.values().sum::<u32>() - same;
        OTHER_IMAGE_COST * f64::from(others)
            - SAME_IMAGE_GAIN * f64::from(same)
            - FULL_WORKER_GAIN * pressure
    }
}
