/// The processes and links that faults may affect.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Number of processes; the first one is the store, which is only paused because it keeps its
    /// data in memory.
    pub processes: usize,
    /// Number of entries among the processes, from the second process on.
    pub entries: usize,
    /// Number of links.
    pub links: usize,
}
