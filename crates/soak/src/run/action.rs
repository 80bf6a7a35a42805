use crate::fault::Injection;

/// A scheduled action on a process or a link, by index.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Inject(Injection),
    Start(usize),
    Resume(usize),
    Restore(usize),
    /// Submits a job whose tasks run until the end of the soak, by number.
    SubmitLasting(u32),
}
