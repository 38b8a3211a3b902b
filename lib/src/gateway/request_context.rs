use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Uri, Version};
use http_body_util::Full;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::gateway::{
    DeliverySemantics, Endpoint, Fingerprint, RequestMetadata, Route, has_attempts_left,
};
use ragwortgrade_schema::Name;

use super::exchange::{ConnectOptions, Exchange, ExchangeError};
use super::memory_account::MemoryAccount;
use super::shared::Shared;
use super::{Dispatch, Operation};

/// Connect timeout within a data centre or a region: round trips take a few milliseconds, and a
/// lost SYN is retransmitted only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time of a reused connection for a request that must not run twice: an endpoint may
/// close an idle connection earlier than it announces, and a request that is lost then cannot be
/// retried.
const IDLE_MAX_UNREPEATABLE: Duration = Duration::from_millis(700);

/// A caller's request in progress, with its route.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) shared: Rc<Shared>,
    pub(super) metadata: RequestMetadata,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    /// Memory that is held for the head and the body.
    pub(super) memory: Rc<MemoryAccount>,
    pub(super) fingerprint: Fingerprint,
    pub(super) route: Route,
    pub(super) service: Name,
    /// Tenant whose key the request carries.
    pub(super) tenant: Option<Name>,
    /// Whether the configuration has tenants, so that callers' headers for them are withheld from
    /// endpoints.
    pub(super) has_tenants: bool,
    pub(super) received_at: Instant,
    /// Time limit of the final response.
    pub(super) time_limit: Duration,
    pub(super) progress: Progress,
}

/// Attempts made for a request so far.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether an endpoint may have run the request.
    may_have_run: Cell<bool>,
    /// Number of times that the request itself was sent.
    sends: Cell<u32>,
    /// Number of remote prefill calls that were sent and failed.
    failed_prefills: Cell<u32>,
    /// Whether the request was refused for a lack of capacity.
    lacked_capacity: Cell<bool>,
}

impl RequestContext {
    /// Returns the request ID for log lines.
    pub(super) fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    pub(super) fn delivery(&self) -> DeliverySemantics {
        self.route.delivery
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.shared.now().since(self.received_at)
    }

    /// Returns the time until the final response is due.
    pub(super) fn time_left(&self) -> Duration {
        self.time_limit.saturating_sub(self.elapsed())
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.progress.may_have_run.get()
    }

    /// Records that the request was sent and may run.
    pub(super) fn record_sent(&self) {
        self.progress.may_have_run.set(true);
        self.progress.sends.set(self.progress.sends.get() + 1);
    }

    /// Records that the endpoint of the last attempt did not run the request.
    ///
    /// `may_have_run_before` is what [`Self::may_have_run`] returned before that attempt.
    pub(super) fn record_not_run(&self, may_have_run_before: bool) {
        self.progress.may_have_run.set(may_have_run_before);
    }

    /// Records that the last attempt was not sent.
    ///
    /// `may_have_run_before` is what [`Self::may_have_run`] returned before that attempt.
    pub(super) fn record_not_sent(&self, may_have_run_before: bool) {
        self.progress.may_have_run.set(may_have_run_before);
        self.progress
            .sends
            .set(self.progress.sends.get().saturating_sub(1));
    }

    /// Records that a remote prefill call was sent and failed.
    pub(super) fn record_failed_prefill(&self) {
        let failed = self.progress.failed_prefills.get();
        self.progress.failed_prefills.set(failed + 1);
    }

    /// Records that the request is refused for a lack of capacity.
    pub(super) fn record_no_capacity(&self) {
        self.progress.lacked_capacity.set(true);
    }

    pub(super) fn lacked_capacity(&self) -> bool {
        self.progress.lacked_capacity.get()
    }

    /// Returns whether the attempts left allow another remote prefill call before the run.
    pub(super) fn may_prefill_remotely(&self) -> bool {
        let attempts = self.progress.sends.get() + self.progress.failed_prefills.get();
        has_attempts_left(attempts, self.route.attempts_max)
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        has_attempts_left(self.progress.sends.get(), self.route.attempts_max)
    }

    /// Takes one retry from the budget of the service; returns whether one was left.
    pub(super) fn consume_retry(&self) -> bool {
        let now = self.shared.now();
        let is_allowed = self
            .shared
            .retry_budgets
            .borrow_mut()
            .try_consume(&self.service, now);
        if !is_allowed {
            log::info!(request = self.id(), service:% = self.service; "retry budget is exhausted");
            self.shared.metrics.count("retries.refused", 1);
        }
        is_allowed
    }

    /// Sends the request to an endpoint and waits for the head of the response.
    pub(super) async fn exchange(
        &self,
        endpoint: &Endpoint,
        priority: Option<u8>,
        operation: Operation,
    ) -> Result<Exchange, ExchangeError> {
        let dispatch = Dispatch {
            endpoint,
            time_left: self.metadata.deadline.map(|_| self.time_left()),
            priority,
            tenant: self.tenant.as_ref(),
            hides_tenant_headers: self.has_tenants,
            operation,
        };
        let options = &self.shared.options;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = options.dialect.request_headers(&self.head, &dispatch);
        let idle_max = if self.delivery().allows_second_run() {
            Duration::MAX
        } else {
            IDLE_MAX_UNREPEATABLE
        };
        let connect_options = ConnectOptions {
            idle_max,
            connect_timeout: CONNECT_TIMEOUT,
        };
        let exchange = Exchange::start(
            &self.shared.client,
            &*options.dialect,
            endpoint.address,
            request,
            self.metadata.id.as_deref(),
            connect_options,
        )
        .await?;
        self.shared
            .observe_response(endpoint, &exchange.info, self.id());
        Ok(exchange)
    }
}

/// Returns the URI in origin form: path and query as the caller sent them.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .cloned()
        .map_or_else(|| Uri::from_static("/"), Uri::from)
}
