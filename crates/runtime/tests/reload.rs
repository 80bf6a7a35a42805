//! Tests that SIGHUP requests a reload and does not stop the process.

use shallotflow_runtime::stop::{Level, Reload, Stop};

#[test]
fn sighup_requests_one_reload_and_does_not_stop_the_process() {
    let stop = Stop::on_signals().expect("signal handlers");
    let mut reload = Reload::default();
    assert!(!reload.take());
    for _ in 0..2 {
        signal_hook::low_level::raise(signal_hook::consts::SIGHUP).expect("a signal");
    }
    assert!(reload.take(), "signals that arrive together count once");
    assert!(!reload.take());
    assert_eq!(stop.level(), Level::Run);
}
