use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

use ragwortgrade_policy::Request;
use ragwortgrade_policy::decision::{Decision, Dispatch};
use ragwortgrade_policy::event::Event;

use super::{Code, Refusal, Streams};
use crate::Node;
use crate::peer::Peers;
use crate::trial::Trials;

/// What the handlers of callers' requests share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) node: Arc<Node>,
    #[expect(
        dead_code,
        reason = "claims and resumed streams are asked of peers next"
    )]
    pub(crate) peers: Arc<dyn Peers>,
    #[expect(dead_code, reason = "streams are kept for resumption next")]
    pub(crate) streams: Arc<Streams>,
    #[expect(dead_code, reason = "strikes are recorded next")]
    pub(crate) trials: Arc<Trials>,
    open: AtomicU32,
    next_request: AtomicU64,
    freed: Mutex<u64>,
    freed_changed: Condvar,
}

impl Context {
    pub(crate) fn new(
        node: Arc<Node>,
        peers: Arc<dyn Peers>,
        streams: Arc<Streams>,
        trials: Arc<Trials>,
    ) -> Self {
        Self {
            node,
            peers,
            streams,
            trials,
            open: AtomicU32::new(0),
            next_request: AtomicU64::new(1),
            freed: Mutex::new(0),
            freed_changed: Condvar::new(),
        }
    }

    /// Counts a request as open until the guard is dropped, unless the limit is reached.
    pub(crate) fn enter(&self) -> Option<OpenRequest<'_>> {
        let limit = self.node.settings.limits.open_requests.get();
        let entered = self
            .open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |open| {
                (open < limit).then_some(open + 1)
            });
        entered.is_ok().then_some(OpenRequest { open: &self.open })
    }

    pub(crate) fn open_requests(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Chooses an endpoint, waiting in the daemon's queue while the router says so.
    pub(crate) fn place(&self, request: &Request) -> Result<Dispatch, Refusal> {
        loop {
            let freed_before = *self.freed.lock().unwrap_or_else(PoisonError::into_inner);
            let now = self.node.clock.now();
            let decision = self.node.router().route(request, now);
            match decision {
                Decision::Dispatch(dispatch) => {
                    log_dispatch(request, &dispatch);
                    return Ok(dispatch);
                }
                Decision::Refuse(refusal) => return Err(Refusal::routing(&refusal)),
                Decision::Wait { .. } if now >= request.deadline => {
                    let message = "the deadline passed in the queue";
                    return Err(Refusal::not_run(Code::DeadlineUnreachable, message));
                }
                Decision::Wait { until } => {
                    let until = until.min(request.deadline);
                    self.wait_for_endpoint(freed_before, until.since(now));
                }
            }
        }
    }

    /// Tells the router that a dispatched request ended and wakes the queue.
    pub(crate) fn finished(&self, request: u64, output_tokens: u32) {
        self.node.observe(Event::Finished {
            request,
            output_tokens,
        });
        *self.freed.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.freed_changed.notify_all();
    }

    fn wait_for_endpoint(&self, freed_before: u64, time: std::time::Duration) {
        let freed = self.freed.lock().unwrap_or_else(PoisonError::into_inner);
        let unchanged = |freed: &mut u64| *freed == freed_before;
        drop(
            self.freed_changed
                .wait_timeout_while(freed, time, unchanged)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

/// A request that counts as open; also a panic of its thread ends the count.
#[derive(Debug)]
pub(crate) struct OpenRequest<'a> {
    open: &'a AtomicU32,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Writes the log line of a routing decision.
fn log_dispatch(request: &Request, dispatch: &Dispatch) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let alternatives: Vec<String> = dispatch
        .alternatives
        .iter()
        .map(|alternative| format!("{}={:.1}", alternative.endpoint, alternative.cost_ms))
        .collect();
    log::info!(
        request = request.id,
        service = request.service.as_str(),
        endpoint = dispatch.endpoint.as_str(),
        prefill = dispatch.prefill.as_deref().unwrap_or_default(),
        reason:? = dispatch.reason,
        alternatives = alternatives.join(" ");
        "request routed"
    );
}
