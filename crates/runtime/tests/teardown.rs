//! Guards against a panic at the end of a runtime: dropping a task that waits drops its sender, which
//! wakes the task that awaits it when the runtime is already gone.

use futures_channel::oneshot;
use shallotflow_runtime::executor;
use std::time::Duration;

#[test]
fn a_task_that_is_dropped_with_the_runtime_may_wake_another() {
    executor::run(async {
        let (sender, receiver) = oneshot::channel::<()>();
        let (start, started) = oneshot::channel::<()>();
        monoio::spawn(receiver);
        monoio::spawn(async move {
            let _ = started.await;
            // Never reached; the sender would be dropped together with the task.
            drop(sender);
        });
        // Lets both tasks run until they wait.
        monoio::time::sleep(Duration::from_millis(1)).await;
        // Queues the second task; it does not run before the runtime ends.
        start.send(()).expect("a waiting task");
    })
    .expect("a runtime");
}
