//! Tests of the runtime, stops and listeners of a process.

use event_listener::Event;
use futures_channel::oneshot;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_runtime::{executor, listen};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

fn descriptor_links() -> Vec<String> {
    let entries = std::fs::read_dir("/proc/self/fd").expect("open descriptors");
    entries
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.display().to_string())
        .collect()
}

#[test]
fn uses_epoll_and_never_io_uring() {
    assert!(
        Path::new("/proc/self/fd").exists(),
        "this test requires /proc to list open descriptors"
    );
    let open = executor::run(async {
        monoio::time::sleep(Duration::from_millis(1)).await;
        descriptor_links()
    })
    .expect("a runtime");
    assert!(open.iter().any(|link| link.contains("eventpoll")), "{open:?}");
    assert!(!open.iter().any(|link| link.contains("io_uring")), "{open:?}");
}

#[test]
fn a_stop_never_lowers_its_level() {
    let stop = Stop::default();
    assert_eq!(stop.level(), Level::Run);
    stop.raise(Level::Immediate);
    stop.raise(Level::Graceful);
    assert_eq!(stop.level(), Level::Immediate);
}

#[test]
fn a_stop_reaches_a_runtime_from_another_thread() {
    let stop = Stop::default();
    let remote = stop.clone();
    let raiser = std::thread::spawn(move || remote.raise(Level::Graceful));
    executor::run(stop.wait(Level::Graceful)).expect("a runtime");
    raiser.join().expect("the raising thread ended");
}

/// Guards against a panic at the end of a runtime: dropping the queued task drops its sender, which
/// wakes the task that awaits it when the runtime is already gone.
#[test]
fn a_runtime_ends_while_a_queued_task_owns_a_sender_that_another_awaits() {
    let ended = executor::run(async {
        let event = Rc::new(Event::new());
        let (sender, receiver) = oneshot::channel::<()>();
        monoio::spawn(async move { receiver.await.is_ok() });
        let wake = event.clone();
        monoio::spawn(async move {
            wake.listen().await;
            drop(sender);
        });
        // Lets the spawned tasks run until they wait.
        monoio::time::sleep(Duration::from_millis(5)).await;
        // Queues the task that owns the sender; it does not run before the runtime ends.
        event.notify(usize::MAX);
        true
    });
    assert!(ended.expect("a runtime"));
}

#[test]
fn a_port_has_only_one_listener() {
    executor::run(async {
        let first = listen::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        let address = first.local_addr().expect("a bound address");
        let second = listen::bind(address).map(|_| ()).expect_err("a taken port");
        assert_eq!(second.kind(), std::io::ErrorKind::AddrInUse);
        drop(first);
        listen::bind(address).expect("a port that is free again");
    })
    .expect("a runtime");
}

/// Guards against the same panic when the queued task never completes, so that it owns the sender
/// until the runtime ends.
#[test]
fn a_runtime_ends_while_a_queued_task_that_never_completes_owns_a_sender() {
    executor::run(async {
        let (sender, receiver) = oneshot::channel::<()>();
        let (wake, woken) = oneshot::channel::<()>();
        monoio::spawn(async move {
            let _sender = sender;
            let _ = woken.await;
            std::future::pending::<()>().await;
        });
        monoio::spawn(async move {
            let _ = receiver.await;
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
        wake.send(()).expect("a waiting task");
    })
    .expect("a runtime");
}
