//! Fair shares of callers and shedding under overload.
