//! Conversions between protobuf messages and domain types.

use crate::proto;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::{Key, Phase};

impl From<Bundle> for proto::Bundle {
    fn from(value: Bundle) -> Self {
        Self {
            slots: value.slots,
            connections: value.connections,
            millicores: value.millicores,
            memory_mib: value.memory_mib,
            accelerators: value.accelerators,
        }
    }
}

impl From<proto::Bundle> for Bundle {
    fn from(value: proto::Bundle) -> Self {
        Self {
            slots: value.slots,
            connections: value.connections,
            millicores: value.millicores,
            memory_mib: value.memory_mib,
            accelerators: value.accelerators,
        }
    }
}

impl From<&proto::TaskKey> for Key {
    fn from(key: &proto::TaskKey) -> Self {
        Self { ledger: key.ledger, job: key.job.as_str().into(), attempt: key.attempt }
    }
}

impl From<&Key> for proto::TaskKey {
    fn from(key: &Key) -> Self {
        Self { ledger: key.ledger, job: key.job.to_string(), attempt: key.attempt }
    }
}

impl From<Phase> for proto::TaskPhase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Accepted => Self::Accepted,
            Phase::Running => Self::Running,
            Phase::Done => Self::Done,
            Phase::Failed => Self::Failed,
            Phase::Evicted => Self::Evicted,
            Phase::Stopped => Self::Stopped,
            Phase::Refused => Self::Refused,
            Phase::Lapsed => Self::Lapsed,
        }
    }
}
