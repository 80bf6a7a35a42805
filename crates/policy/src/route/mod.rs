//! The choice of a target for a request.
