use shallotflow_core::resources::Bundle;

/// What the workers have free, as callers count it: what their runs do not reserve.
pub(crate) struct Room {
    free: Vec<Bundle>,
    half_used: bool,
}

impl Room {
    /// Sums the capacities and what runs reserve of them.
    pub(crate) fn new(workers: impl Iterator<Item = (Bundle, Bundle)>) -> Self {
        let workers: Vec<(Bundle, Bundle)> = workers.collect();
        let capacity: u32 = workers.iter().map(|(capacity, _)| capacity.millicores).sum();
        let used: u32 = workers.iter().map(|(_, reserved)| reserved.millicores).sum();
        let free = workers.iter().map(|(capacity, reserved)| capacity.minus(reserved)).collect();
        Self { free, half_used: used * 2 >= capacity }
    }

    /// Whether two tasks that reserve `need` fit, and less than half of the processors are reserved.
    pub(crate) fn holds_twice(&self, need: &Bundle) -> bool {
        let fits = |free: &Bundle| {
            let processors = free.millicores.checked_div(need.millicores).unwrap_or(u32::MAX);
            processors.min(free.memory_mib / need.memory_mib)
        };
        !self.half_used && self.free.iter().map(fits).fold(0, u32::saturating_add) >= 2
    }
}
