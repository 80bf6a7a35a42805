//! Generates the submissions of the jobs of one kind.

use super::client::caller;
use super::service::Service;
use super::token::Token;
use crate::testbed::{Kind, Misdeclaration};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use shallotflow_core::resources::Bundle;

const PER_MILLE: u32 = 1_000;
/// Factor between declared and actual needs.
const SIZE_FACTOR: u32 = 10;
const PRIORITY: u8 = 100;
/// More memory than any worker has, in mebibytes.
const IMPOSSIBLE_MIB: u32 = u32::MAX / 2;

/// The submission of one job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller that submits it.
    pub caller: String,
    /// Its idempotency key.
    pub key: String,
    /// The body of the submission.
    pub body: String,
    /// Whether the job is cancelled if it has not ended by the cancellation time of the run.
    pub cancel: bool,
}

/// The submissions of one kind of job; deterministic for a seed.
#[derive(Debug)]
pub struct Submissions {
    kind: Kind,
    capacity: Bundle,
    service: Service,
    rng: SmallRng,
    thread: u16,
    seed: u64,
    number: u64,
}

/// The JSON body of a submission.
#[derive(Debug, Serialize)]
struct Body<'a> {
    kind: &'a str,
    resources: Bundle,
    declared_run_ms: u64,
    idempotent: bool,
    priority: u8,
    payload: String,
}

/// The payload, which sets the behavior of the stand-in worker.
#[derive(Debug, Serialize)]
struct Payload {
    run_ms: u64,
    memory_mib: u32,
    millicores: u32,
    token: Token,
}

impl Submissions {
    /// Jobs of `kind` for workers with `capacity`; `seed` makes their idempotency keys unique.
    pub fn new(kind: &Kind, capacity: Bundle, thread: u16, seed: u64) -> Self {
        let stream = seed.wrapping_mul(1 << 20).wrapping_add(u64::from(thread));
        Self {
            kind: kind.clone(),
            capacity,
            service: Service::new(kind, stream),
            rng: SmallRng::seed_from_u64(stream.wrapping_add(1)),
            thread,
            seed,
            number: 0,
        }
    }

    fn body(&mut self, token: Token) -> serde_json::Result<String> {
        let payload = Payload {
            run_ms: self.service.draw().as_millis() as u64,
            memory_mib: self.kind.resources.memory_mib,
            millicores: self.kind.resources.millicores,
            token,
        };
        let understated = self.rng.random::<bool>();
        let body = Body {
            resources: self.declared(understated),
            declared_run_ms: self.declared_run_ms(understated),
            kind: &self.kind.name,
            idempotent: self.kind.idempotent,
            priority: PRIORITY,
            payload: serde_json::to_string(&payload)?,
        };
        serde_json::to_string(&body)
    }

    fn declared(&mut self, understated: bool) -> Bundle {
        let need = self.kind.resources;
        if self.chance(self.kind.impossible_share) {
            return Bundle { memory_mib: IMPOSSIBLE_MIB, ..need };
        }
        match (self.kind.misdeclaration, understated) {
            (Misdeclaration::None, _) => need,
            (Misdeclaration::WrongSizes, true) => Bundle {
                millicores: need.millicores / SIZE_FACTOR,
                memory_mib: need.memory_mib / SIZE_FACTOR,
                ..need
            },
            (Misdeclaration::WrongSizes, false) => Bundle {
                millicores: (need.millicores * SIZE_FACTOR).min(self.capacity.millicores),
                memory_mib: (need.memory_mib * SIZE_FACTOR).min(self.capacity.memory_mib),
                ..need
            },
        }
    }

    fn declared_run_ms(&self, understated: bool) -> u64 {
        let declared = self.kind.declared_run.as_millis() as u64;
        match (self.kind.misdeclaration, understated) {
            (Misdeclaration::None, _) => declared,
            (Misdeclaration::WrongSizes, true) => (declared / u64::from(SIZE_FACTOR)).max(1),
            (Misdeclaration::WrongSizes, false) => declared * u64::from(SIZE_FACTOR),
        }
    }

    fn chance(&mut self, share: u32) -> bool {
        self.rng.random_ratio(share.min(PER_MILLE), PER_MILLE)
    }
}

impl Iterator for Submissions {
    type Item = Submission;

    fn next(&mut self) -> Option<Submission> {
        let token = Token::new(self.thread, self.number);
        self.number += 1;
        let body = self.body(token).ok()?;
        let cancel = self.chance(self.kind.cancelled_share);
        let key = format!("{}-{token}", self.seed);
        Some(Submission { caller: caller(token.number()), key, body, cancel })
    }
}
