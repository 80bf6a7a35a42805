//! An operator who evacuates failure domains with the commands of the product.

use crate::history::{Evacuation, History};
use crate::testbed;
use bpaf::Args;
use shallotflow_cli::command::command;
use shallotflow_cli::error::Error;
use shallotflow_runtime::clock::wall_us;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Delay before a command that failed is run again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// An operator of one store; clones share the history.
#[derive(Clone)]
pub struct Operator {
    store: SocketAddr,
    history: Rc<RefCell<History>>,
}

impl Operator {
    /// An operator who reaches the store at `store` without a proxy and records in `history`.
    pub fn new(store: SocketAddr, history: Rc<RefCell<History>>) -> Self {
        Self { store, history }
    }

    /// Evacuates a failure domain for `duration` from the confirmation by the store on.
    pub async fn evacuate(self, domain: usize, duration: Duration) {
        let name = testbed::domain_name(domain);
        let id = wall_us();
        self.run_until_done(&["--reason=soak", &format!("--change=begin-{id}"), &name]).await;
        let index = {
            let mut history = self.history.borrow_mut();
            let evacuation = Evacuation { domain, confirmed: wall_us(), withdrawn: None };
            history.evacuations.push(evacuation);
            history.evacuations.len() - 1
        };
        monoio::time::sleep(duration).await;
        // The withdrawal may take effect as soon as it is sent.
        self.history.borrow_mut().evacuations[index].withdrawn = Some(wall_us());
        self.run_until_done(&["--end", &format!("--change=end-{id}"), &name]).await;
    }

    /// Runs `shallotflow evacuate` until the store confirms the change. The change has an identifier,
    /// so that it is applied once even if answers are lost.
    async fn run_until_done(&self, arguments: &[&str]) {
        let store = format!("--store={}", self.store);
        let arguments = [&["evacuate", &store], arguments].concat();
        while let Err(error) = run(&arguments).await {
            let message = match error {
                Error::Store(_) | Error::OutcomeUnknown { .. } | Error::Contended(_) => None,
                error => Some(format!("`{}` failed: {error}", arguments.join(" "))),
            };
            if let Some(message) = message {
                self.history.borrow_mut().contradictions.push(message);
                return;
            }
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn run(arguments: &[&str]) -> Result<(), Error> {
    let parsed = command().run_inner(Args::from(arguments));
    let command = parsed.map_err(|failure| Error::Argument(failure.unwrap_stderr()))?;
    command.run().await.map(|_| ())
}
