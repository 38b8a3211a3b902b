use std::io;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::decision::{Decision, Dispatch};
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::limit::Limiter;
use ragwortgrade_policy::retry::Budget;
use ragwortgrade_policy::{Instant, Request};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::configuration::Workspace;

use super::{Code, Refusal, ReplayBuffers};
use crate::Node;
use crate::attempt::Prober;
use crate::claims::OutcomeQueue;
use crate::lock::lock;
use crate::peer::Peers;
use crate::trial::Trials;

/// Longest wait for gossip after the process was paused. The pause between rounds is 1 s, and an
/// exchange takes up to 3.5 s: 0.5 s to connect, 2 s for the handshake and 1 s for the call. A
/// round may take longer than this wait, for example when several seeds do not answer, since seeds
/// are contacted one after the other; requests are then routed with outdated state.
const FRESHNESS_TIMEOUT: Duration = Duration::from_secs(4);
const FRESHNESS_POLL_PERIOD: Duration = Duration::from_millis(10);

/// State shared by the handlers of callers' requests.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) node: Arc<Node>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) replay_buffers: Arc<ReplayBuffers>,
    pub(crate) trials: Arc<Trials>,
    pub(crate) prober: Prober,
    pub(crate) outcome_queue: OutcomeQueue,
    /// Number of responses dropped because they did not contain the identity of their attempt.
    pub(crate) mismatched_responses: AtomicU64,
    limiter: Mutex<Limiter>,
    retry_budget: Mutex<Budget>,
    open_requests: AtomicU32,
    next_request: AtomicU64,
    /// Number of dispatched requests that have ended; queued requests wait for it to change.
    finished_count: Mutex<u64>,
    finished_changed: Condvar,
}

impl Context {
    pub(crate) fn open(
        node: Arc<Node>,
        peers: Arc<dyn Peers>,
        replay_buffers: Arc<ReplayBuffers>,
        trials: Arc<Trials>,
    ) -> io::Result<Self> {
        Ok(Self {
            prober: Prober::spawn(Arc::clone(&node))?,
            outcome_queue: OutcomeQueue::spawn(Arc::clone(&peers))?,
            limiter: Mutex::new(Limiter::open(peers.members().len() as u32)),
            node,
            peers,
            replay_buffers,
            trials,
            mismatched_responses: AtomicU64::new(0),
            retry_budget: Mutex::default(),
            open_requests: AtomicU32::new(0),
            next_request: AtomicU64::new(1),
            finished_count: Mutex::new(0),
            finished_changed: Condvar::new(),
        })
    }

    /// Counts a request against its workspace's limits, and adds to the retry budget.
    pub(crate) fn admit(
        &self,
        name: &Name,
        workspace: &Workspace,
        prompt_tokens: u32,
    ) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        lock(&self.retry_budget).request(now);
        let admitted = lock(&self.limiter).admit(name, workspace, prompt_tokens, now);
        admitted.map_err(|wait| {
            let message = "the workspace's limit is used up";
            Refusal::not_run(Code::OverLimit, message).with_retry_after(Some(wait))
        })
    }

    /// Counts the output of a request against its workspace's limits.
    pub(crate) fn charge(&self, workspace: &Name, output_tokens: u32) {
        lock(&self.limiter).charge(workspace, output_tokens);
    }

    /// Updates this daemon's share of the limits from the number of live daemons, and removes the
    /// limits of workspaces that are no longer declared.
    pub(crate) fn refresh_limits(&self) {
        let daemons = self.peers.members().len() as u32;
        let mut limiter = lock(&self.limiter);
        limiter.set_daemons(daemons);
        if let Some(configuration) = self.node.configuration.load_full() {
            limiter.retain(|name| configuration.workspaces.contains_key(name.as_str()));
        }
    }

    /// Acquires a retry from the budget, waiting until `deadline` at most; returns `false` when
    /// none becomes available.
    pub(crate) fn acquire_retry(&self, deadline: Instant) -> bool {
        loop {
            let now = self.node.clock.now();
            let acquired = lock(&self.retry_budget).retry(now);
            match acquired {
                Ok(()) => return true,
                Err(available_at) if available_at >= deadline => return false,
                Err(available_at) => thread::sleep(available_at.since(now)),
            }
        }
    }

    /// Counts a request as open until the guard is dropped, unless the limit is reached.
    pub(crate) fn try_open_request(&self) -> Option<OpenRequest<'_>> {
        let limit = self.node.settings.limits.open_requests.get();
        let opened = self
            .open_requests
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |open| {
                (open < limit).then_some(open + 1)
            });
        opened.is_ok().then_some(OpenRequest {
            open_requests: &self.open_requests,
        })
    }

    pub(crate) fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::SeqCst)
    }

    pub(crate) fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Selects an endpoint, waiting in the daemon's queue as long as the router demands.
    pub(crate) fn place(
        &self,
        request: &Request,
        is_abandoned: &dyn Fn() -> bool,
    ) -> Result<Dispatch, Refusal> {
        let mut has_waited = self.wait_until_fresh();
        loop {
            let finished_before = *lock(&self.finished_count);
            let now = self.node.clock.now();
            let decision = self.node.router().route(request, now);
            match decision {
                Decision::Dispatch(dispatch) if self.node.is_stale() && !has_waited => {
                    // The process was paused in the meantime, and the endpoint may have left.
                    log::debug!(
                        endpoint:% = dispatch.endpoint;
                        "process was paused; routing the request again"
                    );
                    self.record_finished(request.id, 0);
                    self.wait_until_fresh();
                    has_waited = true;
                }
                Decision::Dispatch(dispatch) => {
                    log_dispatch(request, &dispatch);
                    return Ok(dispatch);
                }
                Decision::Refuse(refusal) => {
                    log_refusal(request, &refusal);
                    return Err(Refusal::from_routing(&refusal));
                }
                Decision::Wait { .. } if now >= request.deadline || is_abandoned() => {
                    let message = "the deadline passed in the queue";
                    return Err(Refusal::not_run(Code::DeadlineUnreachable, message));
                }
                Decision::Wait { until } => {
                    let until = until.min(request.deadline);
                    self.wait_for_finished_request(finished_before, until.since(now));
                }
            }
        }
    }

    /// After a pause of the process, waits for the end of the next round of gossip: an endpoint
    /// that left during the pause must get no new work.
    ///
    /// Returns whether it waited.
    fn wait_until_fresh(&self) -> bool {
        let start = self.node.clock.now();
        let mut has_waited = false;
        while self.node.is_stale() && self.node.clock.now().since(start) < FRESHNESS_TIMEOUT {
            thread::sleep(FRESHNESS_POLL_PERIOD);
            has_waited = true;
        }
        has_waited
    }

    /// Reports the end of a dispatched request to the router and wakes queued requests.
    pub(crate) fn record_finished(&self, request: u64, output_tokens: u32) {
        self.node.observe(Event::Finished {
            request,
            output_tokens,
        });
        *lock(&self.finished_count) += 1;
        self.finished_changed.notify_all();
    }

    fn wait_for_finished_request(&self, finished_before: u64, timeout: std::time::Duration) {
        let finished_count = lock(&self.finished_count);
        let unchanged = |finished_count: &mut u64| *finished_count == finished_before;
        drop(
            self.finished_changed
                .wait_timeout_while(finished_count, timeout, unchanged)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

/// Counts a request as open until this guard is dropped, even if the request's thread panics.
#[derive(Debug)]
pub(crate) struct OpenRequest<'a> {
    open_requests: &'a AtomicU32,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

fn log_refusal(request: &Request, refusal: &ragwortgrade_policy::decision::Refusal) {
    log::info!(
        request = request.id,
        service:% = request.service,
        cause:? = refusal.cause;
        "request refused"
    );
}

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
