//! Throttling, checkpointing and evicting batch work for quick work.
