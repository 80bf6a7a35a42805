use crate::peers::{self, Result, pack};
use shallotflow_core::graph;
use shallotflow_store::pair::Pair;
use std::io::Cursor;

/// A job as the store holds it: the job, followed by the claim under which it was stored.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Job {
    /// The job as accepted.
    pub(super) job: graph::Job,
    /// The revision of the owner's record when the job was stored, which the store has compared. No owner but that
    /// of this claim can have known the job from its beginning; 0 if that is not known.
    pub(super) claim: i64,
}

impl Job {
    /// Encodes the record of `job`.
    ///
    /// # Errors
    ///
    /// Fails only for jobs that MessagePack cannot encode.
    pub(super) fn encode(job: &graph::Job, claim: i64) -> Result<Vec<u8>> {
        let mut value = pack(job)?;
        value.extend(pack(&claim)?);
        Ok(value)
    }

    /// Decodes the record `pair`. Former versions stored the job alone.
    ///
    /// # Errors
    ///
    /// Fails if the value does not begin with a job.
    pub(super) fn decode(pair: &Pair) -> Result<Self> {
        let mut value = Cursor::new(&*pair.value);
        let job = rmp_serde::from_read(&mut value).map_err(peers::Error::from)?;
        let claim = rmp_serde::from_read(&mut value).unwrap_or(0);
        // Another writer may name any claim; a job is stored after the claim that it names.
        let possible = 0..pair.create_revision;
        Ok(Self { job, claim: if possible.contains(&claim) { claim } else { 0 } })
    }
}
