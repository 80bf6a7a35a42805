use std::time::Duration;

/// The resolution of timers.
const PAUSE: Duration = Duration::from_millis(1);

/// Lets all other tasks that can go on, timers and connections have their turn.
///
/// The executor puts a task that wakes itself before all others, and looks at timers only once no task can
/// go on, so a task that yields otherwise keeps them waiting.
pub(super) async fn yield_turn() {
    monoio::time::sleep(PAUSE).await;
}
