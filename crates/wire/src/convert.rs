//! Conversions between messages and domain types.

use crate::proto;
use shallotflow_core::resources::Bundle;

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
