//! An entry that replies as scripted by the test.

use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_wire::proto::scheduler_server::{Scheduler, SchedulerServer};
use shallotflow_wire::proto::{
    ConfigReply, ConfigRequest, Grant, JobReply, JobRequest, LedgerEpoch, ListReply, ListRequest,
    ReportReply, ReportRequest, Stop, SubmitRequest, TargetsReply, TargetsRequest, TaskPhase,
    TaskStatus,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use tonic::{Request, Response, Status};

/// The replies of the entry and the reports that it received.
#[derive(Debug)]
pub(crate) struct Script {
    pub(crate) epoch: u64,
    pub(crate) lease_ms: u32,
    pub(crate) grants: Vec<Grant>,
    pub(crate) stops: Vec<Stop>,
    /// Whether every task that has ended is settled.
    pub(crate) settles: bool,
    /// Whether every report fails as unavailable.
    pub(crate) down: bool,
    /// Added to the sequence of every reply.
    pub(crate) sequence_offset: u64,
    pub(crate) revision: u64,
    pub(crate) text: String,
    pub(crate) reports: Vec<ReportRequest>,
    /// The reported statuses of tasks, in the order of arrival.
    pub(crate) statuses: Vec<TaskStatus>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            epoch: 7,
            lease_ms: 5_000,
            grants: Vec::new(),
            stops: Vec::new(),
            settles: true,
            down: false,
            sequence_offset: 0,
            revision: 0,
            text: String::new(),
            reports: Vec::new(),
            statuses: Vec::new(),
        }
    }
}

impl Script {
    /// The last reported phase of `job`.
    pub(crate) fn phase(&self, job: &str) -> Option<TaskPhase> {
        let matches_job =
            |status: &&TaskStatus| status.key.as_ref().is_some_and(|key| key.job == job);
        self.statuses.iter().rev().find(matches_job).map(TaskStatus::phase)
    }

    fn reply(&mut self, report: ReportRequest) -> ReportReply {
        let ended = |status: &&TaskStatus| {
            !matches!(status.phase(), TaskPhase::Accepted | TaskPhase::Running)
        };
        let settled = report.tasks.iter().filter(|_| self.settles).filter(ended);
        let settled = settled.filter_map(|status| status.key.clone()).collect();
        let reply = ReportReply {
            sequence: report.sequence + self.sequence_offset,
            config_revision: self.revision,
            grants: self.grants.drain(..).collect(),
            stops: self.stops.drain(..).collect(),
            settled,
            owned: vec![LedgerEpoch { ledger: 1, epoch: self.epoch }],
            beat_ms: 50,
            lease_ms: self.lease_ms,
            ..ReportReply::default()
        };
        self.statuses.extend(report.tasks.iter().cloned());
        self.reports.push(report);
        reply
    }
}

/// A scripted entry.
pub(crate) struct Entry {
    pub(crate) address: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl Entry {
    pub(crate) fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let script = Arc::new(Mutex::new(script));
        let service = SchedulerServer::new(Service { script: script.clone() });
        let stop = Rc::new(Event::new());
        monoio::spawn(shallotflow_wire::rpc::serve(listener, service, stop));
        Self { address, script }
    }

    pub(crate) fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().expect("a script")
    }
}

struct Service {
    script: Arc<Mutex<Script>>,
}

type Answer<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl Scheduler for Service {
    async fn report(&self, request: Request<ReportRequest>) -> Answer<ReportReply> {
        let mut script = self.script.lock().expect("a script");
        if script.down {
            return Err(Status::unavailable("down"));
        }
        Ok(Response::new(script.reply(request.into_inner())))
    }

    async fn fetch_config(&self, _: Request<ConfigRequest>) -> Answer<ConfigReply> {
        let script = self.script.lock().expect("a script");
        let (revision, text) = (script.revision, script.text.clone());
        let reply = ConfigReply { revision, text, ..ConfigReply::default() };
        Ok(Response::new(reply))
    }

    async fn submit_job(&self, _: Request<SubmitRequest>) -> Answer<JobReply> {
        Err(Status::unimplemented("submit"))
    }

    async fn read_job(&self, _: Request<JobRequest>) -> Answer<JobReply> {
        Err(Status::unimplemented("read"))
    }

    async fn cancel_job(&self, _: Request<JobRequest>) -> Answer<JobReply> {
        Err(Status::unimplemented("cancel"))
    }

    async fn list_jobs(&self, _: Request<ListRequest>) -> Answer<ListReply> {
        Err(Status::unimplemented("list"))
    }

    async fn list_targets(&self, _: Request<TargetsRequest>) -> Answer<TargetsReply> {
        Err(Status::unimplemented("targets"))
    }
}
