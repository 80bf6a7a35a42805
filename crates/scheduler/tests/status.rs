//! The status that entries exchange.

use serde::Serialize;
use shallotflow_policy::plan::{Backlog, Sizes};
use shallotflow_scheduler::peers::{Response, pack, unpack};
use std::net::SocketAddr;

/// The status as the previous version sends it, without a backlog.
#[derive(Serialize)]
enum Former {
    Standing { epoch: u64, owned: bool, owner: Option<SocketAddr>, store_age_ms: u64, sizes: Sizes },
}

#[test]
fn a_status_of_the_previous_version_is_read_as_one_without_a_backlog() {
    let former = Former::Standing {
        epoch: 7,
        owned: true,
        owner: None,
        store_age_ms: 3,
        sizes: Sizes::default(),
    };
    let packed = pack(&former).expect("a packet");
    let Ok(Response::Status { epoch, backlog, .. }) = unpack::<Response>(&packed) else {
        panic!("the former status is not read");
    };
    assert_eq!((epoch, backlog), (7, Backlog::default()));
}

/// Guards against a status that entries of the previous version cannot read during an upgrade.
#[test]
fn a_status_without_a_backlog_has_the_form_of_the_previous_version() {
    let former = Former::Standing {
        epoch: 7,
        owned: true,
        owner: None,
        store_age_ms: 3,
        sizes: Sizes::default(),
    };
    let status = Response::Status {
        epoch: 7,
        owned: true,
        owner: None,
        store_age_ms: 3,
        sizes: Sizes::default(),
        backlog: Backlog::default(),
    };
    assert_eq!(pack(&status).expect("a packet"), pack(&former).expect("a packet"));
}
