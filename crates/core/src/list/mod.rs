//! Lists that are received from another process, and how much of them was read.
//!
//! A row that is missing from a list is absent at the sender only if the list is [`Whole`]. A
//! [`Reader`] decides that by what the sender says about further rows and by whether every row could
//! be read, so whatever takes absence for an end, a loss or a deletion asks for a [`Whole`] list.

mod reader;
mod received;
mod whole;

pub use reader::Reader;
pub use received::Received;
pub use whole::Whole;
