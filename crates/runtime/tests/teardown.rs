//! The end of a runtime on which tasks still wait.

use futures_channel::oneshot;
use shallotflow_runtime::executor;
use std::time::Duration;

#[test]
fn a_task_that_is_dropped_with_the_runtime_may_wake_another() {
    executor::run(async {
        let (held, waited_for) = oneshot::channel::<()>();
        let (start, started) = oneshot::channel::<()>();
        monoio::spawn(waited_for);
        monoio::spawn(async move {
            let _ = started.await;
            // Never reached; the runtime drops the task with what it holds.
            drop(held);
        });
        // Both tasks wait before the runtime ends.
        monoio::time::sleep(Duration::from_millis(1)).await;
        // The second task is ready and does not run any more.
        start.send(()).expect("a waiting task");
    })
    .expect("a runtime");
}
