/// What there is to go wrong.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Processes; the first one is the store, which keeps its data in memory and is only paused.
    pub processes: usize,
    /// Entries among them, from the second one on.
    pub entries: usize,
    /// Links.
    pub links: usize,
}
