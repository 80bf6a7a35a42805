//! Batch jobs under an owner: grants, recovery, cancellation and retention.
