//! What every process shares: its runtime, its stop signal and its operators' listener.

pub mod executor;
pub mod stop;
