use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Uri, Version};
use http_body_util::Full;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{Arrival, Endpoint, Repeat, Route, has_attempts_left};
use ragwortgrade_schema::Name;

use super::exchange::{Broken, Exchange, Patience};
use super::shared::Shared;
use super::{Dispatch, Purpose};

/// Longest time to open a connection within a data centre or a region: crossings take a few
/// milliseconds, a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection for a request that cannot be repeated: an endpoint may drop
/// an idle connection earlier than it says.
const IDLE_MAX_UNREPEATABLE: Duration = Duration::from_millis(700);

/// A caller's request with its route, while it is being answered.
#[derive(Debug)]
pub(super) struct Inquiry {
    pub(super) shared: Rc<Shared>,
    pub(super) arrival: Arrival,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) route: Route,
    pub(super) service: Name,
    pub(super) begun: Instant,
    /// Longest time until the final answer.
    pub(super) time_limit: Duration,
    pub(super) progress: Progress,
}

/// What has been done about a request so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether an attempt leaves open that the request ran.
    may_have_run: Cell<bool>,
    /// Endpoints to which the request itself was sent.
    sends: Cell<u32>,
    /// Prefill calls that were sent and brought nothing.
    failed_reads: Cell<u32>,
}

impl Inquiry {
    /// Identity for log lines.
    pub(super) fn id(&self) -> &str {
        self.arrival.id.as_deref().unwrap_or("-")
    }

    pub(super) fn repeat(&self) -> Repeat {
        self.route.repeat
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.shared.now().since(self.begun)
    }

    /// Returns the time until the final answer is due.
    pub(super) fn left(&self) -> Duration {
        self.time_limit.saturating_sub(self.elapsed())
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.progress.may_have_run.get()
    }

    /// Notes that the request may run now.
    pub(super) fn note_sent(&self) {
        self.progress.may_have_run.set(true);
        self.progress.sends.set(self.progress.sends.get() + 1);
    }

    /// Notes that the endpoint that was just asked did not run the request.
    pub(super) fn note_not_run(&self, was_running_before: bool) {
        self.progress.may_have_run.set(was_running_before);
    }

    /// Notes that the request did not leave this daemon.
    pub(super) fn note_not_sent(&self, was_running_before: bool) {
        self.progress.may_have_run.set(was_running_before);
        self.progress
            .sends
            .set(self.progress.sends.get().saturating_sub(1));
    }

    /// Notes that a prefill call was sent and brought nothing.
    pub(super) fn note_failed_read(&self) {
        let failed = self.progress.failed_reads.get();
        self.progress.failed_reads.set(failed + 1);
    }

    /// Tells whether the attempts that are left allow another prefill call before the run.
    pub(super) fn may_read_apart(&self) -> bool {
        let attempts = self.progress.sends.get() + self.progress.failed_reads.get();
        has_attempts_left(attempts, self.route.attempts_max)
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        has_attempts_left(self.progress.sends.get(), self.route.attempts_max)
    }

    /// Takes a repeated send out of the service's budget.
    pub(super) fn take_retry(&self) -> bool {
        let now = self.shared.now();
        let is_allowed = self.shared.budgets.borrow_mut().retry(&self.service, now);
        if !is_allowed {
            log::info!(request = self.id(), service:% = self.service; "retry budget is used up");
            self.shared.metrics.count("retries.refused", 1);
        }
        is_allowed
    }

    /// Sends the request to an endpoint and waits for the head of the answer.
    pub(super) async fn exchange(
        &self,
        endpoint: &Endpoint,
        priority: Option<u8>,
        purpose: Purpose,
    ) -> Result<Exchange, Broken> {
        let dispatch = Dispatch {
            endpoint,
            left: self.arrival.deadline.map(|_| self.left()),
            priority,
            purpose,
        };
        let options = &self.shared.options;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = options.dialect.outbound(&self.head, &dispatch);
        let idle_max = if self.repeat().allows_second_run() {
            Duration::MAX
        } else {
            IDLE_MAX_UNREPEATABLE
        };
        let patience = Patience {
            idle_max,
            connect_timeout: CONNECT_TIMEOUT,
        };
        Exchange::begin(
            &self.shared.client,
            &*options.dialect,
            endpoint.address,
            request,
            self.arrival.id.as_deref(),
            patience,
        )
        .await
    }
}

/// Returns the path and query as the caller sent them.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .cloned()
        .map_or_else(|| Uri::from_static("/"), Uri::from)
}
