//! The load of a target as its agent sees it.

use serde::{Deserialize, Serialize};

/// A snapshot of a target's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Quick requests running.
    pub running: u32,
    /// Quick requests waiting at the agent.
    pub queued: u32,
    /// Slots that quick work may use now.
    pub slots: u32,
    /// Mean service time of quick work, microseconds; zero when it is not known yet.
    pub service_us: u32,
    /// Slowdown of quick work by what runs beside it, thousandths; 1,000 is none.
    pub disturbance_milli: u32,
}

impl Load {
    /// Reads `running,queued,slots,service_us,disturbance_milli`; `None` for anything else.
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
