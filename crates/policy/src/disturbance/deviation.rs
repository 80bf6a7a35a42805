/// Number of measurements over which the errors are averaged; some seconds of a hundred services.
const MEASUREMENTS: f64 = 1_000.0;

/// Errors of a model of disturbance, as shares of the target, averaged over the latest measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Deviation {
    /// Mean absolute error of the model.
    pub learned: f64,
    /// The same if every neighbor added nothing. A model that is no better than this is worth nothing.
    pub alone: f64,
}

impl Deviation {
    /// Adds the errors of one measurement.
    pub(super) fn add(&mut self, learned: f64, alone: f64) {
        self.learned += (learned.abs() - self.learned) / MEASUREMENTS;
        self.alone += (alone.abs() - self.alone) / MEASUREMENTS;
    }
}
