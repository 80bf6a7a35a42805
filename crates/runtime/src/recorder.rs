//! The metrics recorder of the process, which forwards to the program of the calling thread.

use crate::program;
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use std::sync::Once;

/// Installs the recorder of this process; later calls have no effect.
pub(crate) fn install() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        // Fails only if another recorder is installed, which then keeps the metrics.
        let _ = metrics::set_global_recorder(PerThread);
    });
}

struct PerThread;

impl Recorder for PerThread {
    fn describe_counter(&self, name: KeyName, unit: Option<Unit>, description: SharedString) {
        if let Some(recorder) = program::recorder() {
            recorder.describe_counter(name, unit, description);
        }
    }

    fn describe_gauge(&self, name: KeyName, unit: Option<Unit>, description: SharedString) {
        if let Some(recorder) = program::recorder() {
            recorder.describe_gauge(name, unit, description);
        }
    }

    fn describe_histogram(&self, name: KeyName, unit: Option<Unit>, description: SharedString) {
        if let Some(recorder) = program::recorder() {
            recorder.describe_histogram(name, unit, description);
        }
    }

    fn register_counter(&self, key: &Key, metadata: &Metadata<'_>) -> Counter {
        let recorder = program::recorder();
        recorder.map_or_else(Counter::noop, |recorder| recorder.register_counter(key, metadata))
    }

    fn register_gauge(&self, key: &Key, metadata: &Metadata<'_>) -> Gauge {
        let recorder = program::recorder();
        recorder.map_or_else(Gauge::noop, |recorder| recorder.register_gauge(key, metadata))
    }

    fn register_histogram(&self, key: &Key, metadata: &Metadata<'_>) -> Histogram {
        let recorder = program::recorder();
        recorder.map_or_else(Histogram::noop, |recorder| recorder.register_histogram(key, metadata))
    }
}
