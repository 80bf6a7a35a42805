//! Setting failing and slow workers aside, within a bound.
