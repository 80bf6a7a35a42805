use crate::fault::Planned;

/// Something that is due.
#[derive(Clone, Copy, Debug)]
pub(super) enum Due {
    Strike(Planned),
    Start(usize),
    Continue(usize),
    Heal(usize),
}
