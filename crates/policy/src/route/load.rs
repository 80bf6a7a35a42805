//! Load of a target as reported by its agent.

use serde::{Deserialize, Serialize};

/// A snapshot of a target's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Quick requests that run.
    pub running: u32,
    /// Quick requests queued at the agent.
    pub queued: u32,
    /// Slots available to quick work now.
    pub slots: u32,
    /// Mean service time of quick work, microseconds; zero while unknown.
    pub service_us: u32,
    /// Slowdown of quick work by colocated work, thousandths; 1,000 means no slowdown.
    pub disturbance_milli: u32,
}

impl Load {
    /// Parses `running,queued,slots,service_us,disturbance_milli`; returns `None`
    /// for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(|field| field.trim().parse::<u32>().ok());
        let load = Self {
            running: fields.next()??,
            queued: fields.next()??,
            slots: fields.next()??,
            service_us: fields.next()??,
            disturbance_milli: fields.next()??,
        };
        fields.next().is_none().then_some(load)
    }
}
