//! Tests of signals; a separate file, because signals reach the whole test process.

use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Dump, Level, Stop};
use signal_hook::consts::{SIGTERM, SIGUSR1};
use signal_hook::low_level::raise;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn the_second_termination_is_immediate_and_dumps_reach_every_program() {
    let stop = Stop::on_signals().expect("signal handlers");
    executor::run(async {
        let dumps = async {
            let (mut first, mut second) = (Dump::default(), Dump::default());
            raise(SIGUSR1).expect("a raised signal");
            first.wait().await;
            second.wait().await;
        };
        monoio::time::timeout(TIMEOUT, dumps).await.expect("a dump request for both programs");
        assert_eq!(stop.level(), Level::Run);
        raise(SIGTERM).expect("a raised signal");
        stop.wait(Level::Graceful).await;
        assert_eq!(stop.level(), Level::Graceful);
        raise(SIGTERM).expect("a raised signal");
        monoio::time::timeout(TIMEOUT, stop.wait(Level::Immediate))
            .await
            .expect("an immediate stop");
    })
    .expect("a runtime");
}
