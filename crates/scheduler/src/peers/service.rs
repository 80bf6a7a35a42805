use super::{Call, pack, unpack};
use crate::proto::Packet;
use crate::proto::peers_server::Peers;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::{Request, Response, Status};

/// Forwards received calls to the process's loop.
pub struct Service {
    calls: UnboundedSender<Call>,
}

impl Service {
    /// Creates a service that forwards calls to `calls`.
    pub fn new(calls: UnboundedSender<Call>) -> Self {
        Self { calls }
    }

    async fn post<M: DeserializeOwned, A: Serialize>(
        &self,
        request: Request<Packet>,
        call: impl FnOnce(Box<M>, oneshot::Sender<A>) -> Call,
    ) -> Result<Response<Packet>, Status> {
        let message = unpack(&request.into_inner().body)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (sender, receiver) = oneshot::channel();
        let stopping = || Status::unavailable("this process is stopping; call another one");
        self.calls.unbounded_send(call(Box::new(message), sender)).map_err(|_| stopping())?;
        let answer = receiver.await.map_err(|_| stopping())?;
        let body = pack(&answer).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(Packet { body }))
    }
}

#[tonic::async_trait]
impl Peers for Service {
    async fn report(&self, request: Request<Packet>) -> Result<Response<Packet>, Status> {
        self.post(request, Call::Report).await
    }

    async fn ask(&self, request: Request<Packet>) -> Result<Response<Packet>, Status> {
        self.post(request, Call::Ask).await
    }
}
