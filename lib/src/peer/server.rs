use std::sync::Arc;

use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Gossip, Identity, Settled,
    StreamAnswer, StreamRequest, Trial,
};
use tarpc::context::Context;
use tokio::task::spawn_blocking;

use super::Handler;
use super::service::Service;

/// Runs each call in the daemon's [`Handler`] on the blocking thread pool.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) handler: Arc<dyn Handler>,
}

impl Server {
    async fn run<A: Send + 'static>(
        self,
        handle: impl FnOnce(&dyn Handler) -> A + Send + 'static,
    ) -> A {
        let task = spawn_blocking(move || handle(&*self.handler));
        match task.await {
            Ok(answer) => answer,
            // A handler panics only if an invariant of this process is broken.
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
}

impl Service for Server {
    async fn exchange(self, _: Context, gossip: Gossip) -> Gossip {
        self.run(move |handler| handler.exchange(gossip)).await
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimAnswer {
        self.run(move |handler| handler.claim(request)).await
    }

    async fn settle(self, _: Context, outcome: ClaimOutcome) -> Settled {
        self.run(move |handler| handler.settle(outcome)).await
    }

    async fn stream(self, _: Context, request: StreamRequest) -> StreamAnswer {
        self.run(move |handler| handler.stream(request)).await
    }

    async fn reserve_trial(self, _: Context, trial: Trial) -> bool {
        self.run(move |handler| handler.reserve_trial(trial)).await
    }

    async fn identity(self, _: Context) -> Identity {
        self.run(|handler| handler.identity()).await
    }

    async fn configuration(self, _: Context, since: u64) -> ConfigurationAnswer {
        self.run(move |handler| handler.configuration(since)).await
    }
}
