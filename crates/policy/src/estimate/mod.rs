//! Sizes and run times, learned from late reports.
