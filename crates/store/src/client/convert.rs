//! Conversions between the types of the trait and the gRPC messages.

use crate::pair::Pair;
use crate::proto::etcdserverpb as rpc;
use crate::proto::mvccpb;
use crate::transaction::{Compare, Transaction, Write};
use crate::watch::Change;
use rpc::compare::{CompareResult, CompareTarget, TargetUnion};
use rpc::request_op::Request;

pub(super) fn pair(kv: mvccpb::KeyValue) -> Pair {
    Pair {
        key: key(kv.key),
        value: kv.value,
        create_revision: kv.create_revision,
        mod_revision: kv.mod_revision,
        lease: kv.lease,
    }
}

pub(super) fn revision(header: Option<&rpc::ResponseHeader>) -> i64 {
    header.map_or(0, |header| header.revision)
}

/// The first lease that a write of the transaction is attached to, 0 for none.
pub(super) fn lease(transaction: &Transaction) -> i64 {
    transaction
        .writes
        .iter()
        .find_map(|write| match write {
            Write::Put { lease, .. } if *lease != 0 => Some(*lease),
            _ => None,
        })
        .unwrap_or(0)
}

pub(super) fn transaction(transaction: Transaction) -> rpc::TxnRequest {
    rpc::TxnRequest {
        compare: transaction.compares.into_iter().map(compare).collect(),
        success: transaction.writes.into_iter().map(write).collect(),
        failure: Vec::new(),
    }
}

/// Returns the change and the revision that made it.
pub(super) fn change(event: mvccpb::Event) -> Option<(i64, Change)> {
    let deleted = event.r#type() == mvccpb::event::EventType::Delete;
    let kv = event.kv?;
    let revision = kv.mod_revision;
    if deleted {
        return Some((revision, Change::Delete { key: key(kv.key), revision }));
    }
    Some((revision, Change::Put(pair(kv))))
}

/// The exclusive end of the range of keys that start with `prefix`.
pub(super) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn key(bytes: Vec<u8>) -> String {
    String::from_utf8_lossy(&bytes).into_owned()
}

fn compare(compare: Compare) -> rpc::Compare {
    let (key, target, union) = match compare {
        Compare::CreateRevision { key, revision } => {
            (key, CompareTarget::Create, TargetUnion::CreateRevision(revision))
        }
        Compare::ModRevision { key, revision } => {
            (key, CompareTarget::Mod, TargetUnion::ModRevision(revision))
        }
    };
    rpc::Compare {
        result: CompareResult::Equal.into(),
        target: target.into(),
        key: key.into_bytes(),
        target_union: Some(union),
    }
}

fn write(write: Write) -> rpc::RequestOp {
    let request = match write {
        Write::Put { key, value, lease } => {
            Request::RequestPut(rpc::PutRequest { key: key.into_bytes(), value, lease })
        }
        Write::Delete { key } => Request::RequestDeleteRange(rpc::DeleteRangeRequest {
            key: key.into_bytes(),
            range_end: Vec::new(),
        }),
    };
    rpc::RequestOp { request: Some(request) }
}
