use super::DeliverySemantics;

/// How one attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The endpoint reports that it did not run the request.
    NotRun,
    /// Another endpoint answers at the address; the request was not run.
    WrongEndpoint,
    /// The response was lost or unusable; the request may have run.
    Unknown,
    /// The endpoint ran the request and answered with an error.
    Failed,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another endpoint.
    Retry,
    /// End the request with this outcome.
    End(Outcome),
}

/// How a request ends without a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The endpoint's error is forwarded to the caller.
    ForwardError,
}

impl Failure {
    /// Returns whether the request may have run despite the failure.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Unknown | Self::Failed)
    }
}

/// Returns whether another attempt is permitted after `attempts`.
///
/// Prefill calls are not attempts, but those that failed are added to `attempts` when the caller
/// asks for another remote prefill.
#[must_use]
pub fn has_attempts_left(attempts: u32, attempts_max: u32) -> bool {
    attempts < attempts_max.max(1)
}

/// Decides what follows a failed attempt.
///
/// `may_have_run` is whether any attempt so far may have run the request. `can_retry` is whether
/// attempts, retry budget and time permit another one.
#[must_use]
pub fn next_step(
    failure: Failure,
    delivery: DeliverySemantics,
    may_have_run: bool,
    can_retry: bool,
) -> NextStep {
    if can_retry && (!may_have_run || delivery.allows_second_run()) {
        return NextStep::Retry;
    }
    if failure == Failure::Failed {
        return NextStep::End(Outcome::ForwardError);
    }
    if may_have_run {
        return NextStep::End(Outcome::Unknown);
    }
    NextStep::End(Outcome::NotRun)
}
