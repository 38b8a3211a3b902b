use std::time::Duration;

use ragwortgrade_policy::Request;
use ragwortgrade_policy::decision::Dispatch;
use ragwortgrade_policy::suspect::Admission;

use super::trial_reservation::TrialReservation;
use crate::front::{Code, Context, Refusal};
use crate::membership::Endpoint;

/// Pause between two searches for an endpoint.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Retry time of a request that found no endpoint for its trial: the time after which the
/// reservation of an endpoint for another trial expires unless it is renewed.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// An endpoint assigned to a request; the router counts the request as in flight until this is
/// dropped.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    context: &'a Context,
    pub(crate) endpoint: Endpoint,
    /// Incarnation of the endpoint's process when the attempt began, if known.
    pub(crate) incarnation: Option<u64>,
    pub(crate) dispatch: Dispatch,
    request: u64,
    content_digest: u128,
    trial: Option<TrialReservation>,
    pub(crate) output_tokens: u32,
}

impl<'a> Placement<'a> {
    /// Finds an endpoint for a request. A request with a strike runs as a trial: on an endpoint
    /// that runs no other request with a strike.
    ///
    /// A request whose attempts failed, or whose trial found no free endpoint, waits until its
    /// deadline; `is_abandoned` ends the wait early.
    pub(crate) fn find(
        context: &'a Context,
        request: &mut Request,
        content_digest: u128,
        is_abandoned: &dyn Fn() -> bool,
    ) -> Result<Self, Refusal> {
        let mut has_failed = false;
        loop {
            has_failed |= !request.avoid.is_empty();
            let admission = context.trials.admission(content_digest);
            if admission == Admission::Refused {
                let message = "this content crashed two endpoints and is not run again";
                return Err(Refusal::not_run(Code::CrashesEndpoints, message));
            }
            let dispatch = match context.place(request, is_abandoned) {
                Ok(dispatch) => dispatch,
                Err(refusal) if !has_failed => return Err(refusal),
                Err(refusal) => {
                    // No other endpoint is left: retry those that failed before.
                    request.avoid.clear();
                    wait_before_retry(context, request, refusal, admission, is_abandoned)?;
                    continue;
                }
            };
            match Self::acquire(context, request, content_digest, dispatch, admission) {
                Ok(placement) => return Ok(placement),
                Err(dispatch) => request.avoid.push(dispatch.endpoint),
            }
        }
    }

    /// Ends the trial, if this is one, after an attempt that may have crashed the endpoint, and
    /// sends the strikes to the other daemons of the data centre at once.
    pub(crate) fn end_trial(&mut self) {
        let strikes = self.context.trials.strikes_against(self.content_digest);
        if let Some(trial) = self.trial.take() {
            trial.release(strikes);
        }
    }

    /// Resolves the endpoint of `dispatch` and, for a trial, reserves it. When it has left or
    /// cannot be reserved, returns the dispatch.
    fn acquire(
        context: &'a Context,
        request: &Request,
        content_digest: u128,
        dispatch: Dispatch,
        admission: Admission,
    ) -> Result<Self, Dispatch> {
        let Some(endpoint) = context.node.directory.get(&dispatch.endpoint) else {
            context.record_finished(request.id, 0);
            return Err(dispatch);
        };
        let trial = if admission == Admission::Trial {
            let trial = TrialReservation::open(
                &context.node,
                &context.peers,
                &context.trials,
                &endpoint.id,
                request.id,
                context.trials.strikes_against(content_digest),
            );
            if trial.is_none() {
                context.record_finished(request.id, 0);
                return Err(dispatch);
            }
            trial
        } else {
            None
        };
        context.trials.record_start(&endpoint.id, content_digest);
        Ok(Self {
            context,
            incarnation: context.prober.incarnation(&endpoint),
            endpoint,
            dispatch,
            request: request.id,
            content_digest,
            trial,
            output_tokens: 0,
        })
    }

    /// Returns whether the request runs isolated from other requests with strikes.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }
}

impl Drop for Placement<'_> {
    fn drop(&mut self) {
        self.context
            .trials
            .record_end(&self.endpoint.id, self.content_digest);
        self.context
            .record_finished(self.request, self.output_tokens);
        if let Some(trial) = self.trial.take() {
            trial.release(self.context.trials.strikes_against(self.content_digest));
        }
    }
}

/// Waits before the next search for an endpoint; fails with `refusal` when the deadline has passed
/// or the caller has disconnected.
fn wait_before_retry(
    context: &Context,
    request: &Request,
    refusal: Refusal,
    admission: Admission,
    is_abandoned: &dyn Fn() -> bool,
) -> Result<(), Refusal> {
    let now = context.node.clock.now();
    if now >= request.deadline || is_abandoned() {
        return Err(match admission {
            Admission::Trial => refusal.with_retry_after(Some(TRIAL_RETRY_AFTER)),
            Admission::Allowed | Admission::Refused => refusal,
        });
    }
    std::thread::sleep(RETRY_PAUSE.min(request.deadline.since(now)));
    Ok(())
}
