//! The identity, log filter and metrics of the program on a thread.

use crate::logs;
use crate::recorder;
use metrics::{Recorder, SharedString};
use metrics_exporter_prometheus::{
    BuildError, Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use shallotflow_core::log::{self, Filter, Level};
use shallotflow_core::metric::{self, Kind};
use shallotflow_core::name::Name;
use std::cell::RefCell;
use std::rc::Rc;

/// Upper bounds of the buckets of every histogram, in seconds.
const SECONDS_BUCKETS: [f64; 16] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0,
    300.0,
];

thread_local! {
    static CURRENT: RefCell<Option<Current>> = const { RefCell::new(None) };
}

struct Current {
    identity: Identity,
    filter: Filter,
    recorder: Rc<PrometheusRecorder>,
}

/// The program and process that a log record comes from.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The kind of program, such as `entry`.
    pub program: &'static str,
    /// The name of the process, such as `entry-1`.
    pub name: Name,
}

/// The reason why a program cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log filter is not valid.
    #[error("the log filter is not valid: {0}")]
    Filter(#[from] log::Error),
    /// The metrics library rejected its settings.
    #[error("metrics cannot be recorded ({0}); report this as a defect")]
    Metrics(#[from] BuildError),
}

/// The result of setting up a program.
pub type Result<T> = std::result::Result<T, Error>;

/// The program that runs on the current thread; each thread has at most one.
///
/// Its log lines carry its name, and its metrics are separate from those of other programs that
/// run as threads of the same process. If a second program is created on a thread, it replaces the
/// first one for the logs and metrics of that thread.
#[derive(Clone)]
pub struct Program {
    identity: Identity,
    recorder: Rc<PrometheusRecorder>,
}

impl Program {
    /// Sets up the identity, the log filter and the metrics of the program on this thread.
    ///
    /// The environment variable [`logs::FILTER_VARIABLE`] overrides `filter`.
    ///
    /// # Errors
    ///
    /// Fails if the filter is not valid.
    pub fn new(program: &'static str, name: &Name, filter: &str) -> Result<Self> {
        logs::install();
        recorder::install();
        let effective = std::env::var(logs::FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
        let filter = effective.parse()?;
        let identity = Identity { program, name: name.clone() };
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS_BUCKETS)?
            .build_recorder();
        describe(&recorder);
        let recorder = Rc::new(recorder);
        let current = Current { identity: identity.clone(), filter, recorder: recorder.clone() };
        CURRENT.with_borrow_mut(|slot| *slot = Some(current));
        Ok(Self { identity, recorder })
    }

    /// A handle that renders the metrics of the program.
    pub fn metrics(&self) -> PrometheusHandle {
        self.recorder.handle()
    }

    /// The identity of the program.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The current log filter.
    pub fn filter(&self) -> String {
        current(|current| current.filter.as_str().to_owned()).unwrap_or_default()
    }

    /// Replaces the log filter.
    ///
    /// # Errors
    ///
    /// Fails if the filter is not valid; the current one is kept.
    pub fn set_filter(&self, filter: &str) -> Result<()> {
        let filter: Filter = filter.parse()?;
        CURRENT.with_borrow_mut(|slot| {
            if let Some(current) = slot {
                current.filter = filter;
            }
        });
        Ok(())
    }
}

/// Reads the state of the program on this thread; `None` if there is none or the thread is ending.
fn current<T>(read: impl FnOnce(&Current) -> T) -> Option<T> {
    CURRENT.try_with(|slot| slot.try_borrow().ok()?.as_ref().map(read)).ok().flatten()
}

/// The identity of the program on this thread.
pub(crate) fn identity() -> Option<Identity> {
    current(|current| current.identity.clone())
}

/// Whether the filter of the program on this thread allows a record; without a program, records of
/// level `info` and above are allowed.
pub(crate) fn allows(level: Level, target: &str) -> bool {
    current(|current| current.filter.allows(level, target)).unwrap_or(level <= Level::Info)
}

/// The recorder of the program on this thread.
pub(crate) fn recorder() -> Option<Rc<PrometheusRecorder>> {
    current(|current| current.recorder.clone())
}

fn describe(recorder: &PrometheusRecorder) {
    for metric in metric::ALL {
        let meaning = SharedString::const_str(metric.description);
        match metric.kind {
            Kind::Counter => recorder.describe_counter(metric.name.into(), None, meaning),
            Kind::Gauge => recorder.describe_gauge(metric.name.into(), None, meaning),
            Kind::Histogram => recorder.describe_histogram(metric.name.into(), None, meaning),
        }
    }
}
