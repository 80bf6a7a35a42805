/// An evacuation of a failure domain that the store confirmed.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Index of the failure domain.
    pub domain: usize,
    /// When the store had confirmed the request, in microseconds since the Unix epoch.
    pub confirmed: u64,
    /// When the withdrawal was sent, in microseconds since the Unix epoch, if it was.
    pub withdrawn: Option<u64>,
}

impl Evacuation {
    /// Maximum time after the confirmation until nothing more starts in the domain, microseconds.
    pub const BOUND_US: u64 = 5_000_000;

    /// Whether a start in the domain at `unix_us` is too late.
    pub fn forbids(&self, unix_us: u64) -> bool {
        unix_us > self.confirmed + Self::BOUND_US
            && self.withdrawn.is_none_or(|withdrawn| unix_us < withdrawn)
    }
}
