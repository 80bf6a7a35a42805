//! The section of an exception that drains workers.

use super::{expiry, section};
use crate::connect::env;
use crate::error::{Error, Result};
use shallotflow_core::fleet::Exception;
use shallotflow_core::ini::codec::{Codec, Timestamp};

/// An exception that drains the workers that match one condition.
pub(in crate::command) struct Drain {
    /// Identifier of the exception.
    pub(in crate::command) id: String,
    /// Key of the condition: `worker` or `domain`.
    pub(in crate::command) key: &'static str,
    /// Name that the condition requires.
    pub(in crate::command) name: String,
    /// Noun phrase for the request, such as `a drain`, for the error message.
    pub(in crate::command) noun: &'static str,
    /// Reason, which is required.
    pub(in crate::command) reason: Option<String>,
    /// Author; the current user if not given.
    pub(in crate::command) author: Option<String>,
    /// Duration from now, such as 2h; unlimited if not given.
    pub(in crate::command) duration: Option<String>,
}

impl Drain {
    /// Formats the exception as an INI section.
    ///
    /// # Errors
    ///
    /// Fails if there is no reason, the duration is invalid, or a value has a line break.
    pub(in crate::command) fn section(self) -> Result<String> {
        let Some(reason) = &self.reason else {
            let message = format!("{} needs a reason; give it with --reason TEXT", self.noun);
            return Err(Error::Argument(message));
        };
        let mut lines = vec![
            format!("[{}]", Exception::header(&self.id)),
            format!("{} = {}", self.key, self.name),
            "drain = true".to_owned(),
            format!("reason = {reason}"),
        ];
        let author = env::user(self.author);
        lines.extend(author.iter().map(|author| format!("author = {author}")));
        if let Some(duration) = &self.duration {
            lines.push(format!("expires = {}", Timestamp::print(&expiry(duration)?)));
        }
        section(&lines)
    }
}
