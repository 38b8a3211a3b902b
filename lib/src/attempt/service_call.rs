use std::time::Duration;

use ragwortgrade_policy::Request;

use super::failure::{is_permanent, may_have_run};
use super::{FAILURES_MAX, Placement, random_identity};
use crate::endpoint::{Execution, PlainCall, PlainResponse};
use crate::front::{Code, Context, Refusal};

/// A call of a plain service, retried until an endpoint responds. A call that may not run twice is
/// not retried when its outcome is unknown.
#[derive(Debug)]
pub(crate) struct ServiceCall<'a> {
    pub(crate) context: &'a Context,
    pub(crate) routing_request: Request,
    pub(crate) content_digest: u128,
    /// The call to send. Its timeout is set before each attempt, and its attempt identity is
    /// replaced after an attempt whose outcome is unknown.
    pub(crate) call: PlainCall,
    /// Whether the call may run twice, so that it is retried when its outcome is unknown.
    pub(crate) idempotent: bool,
}

impl ServiceCall<'_> {
    /// Runs the call; `execution` of a refusal covers all attempts.
    pub(crate) fn run(
        &mut self,
        is_abandoned: &dyn Fn() -> bool,
    ) -> Result<PlainResponse, Refusal> {
        let mut execution = Execution::NotRun;
        for _ in 0..FAILURES_MAX {
            let placement = Placement::find(
                self.context,
                &mut self.routing_request,
                self.content_digest,
                is_abandoned,
            );
            let mut placement = placement.map_err(|refusal| Refusal {
                execution,
                ..refusal
            })?;
            self.call.timeout = self.time_left(execution)?;
            let plain_services = &self.context.node.plain_services;
            let error = match plain_services.call(&placement.endpoint.address, &self.call) {
                Ok(response) => {
                    self.context.trials.record_completion(self.content_digest);
                    return Ok(response);
                }
                Err(error) => error,
            };
            self.context.handle_failure(
                &placement.endpoint,
                placement.incarnation,
                self.content_digest,
                &error,
            );
            if is_permanent(&error) {
                let message = "the call cannot be passed on";
                let refusal = Refusal::not_run(Code::Malformed, message);
                return Err(Refusal {
                    execution,
                    ..refusal
                });
            }
            if may_have_run(&error) {
                execution = Execution::Unknown;
                placement.end_trial();
                if !self.idempotent {
                    break;
                }
                // A late response to the lost attempt must not be accepted as one to the next.
                self.call.attempt = random_identity().map_err(|_error| final_refusal(execution))?;
            }
            self.routing_request
                .avoid
                .push(placement.endpoint.id.clone());
            drop(placement);
            if !self.context.acquire_retry(self.routing_request.deadline) {
                break;
            }
        }
        Err(final_refusal(execution))
    }

    fn time_left(&self, execution: Execution) -> Result<Duration, Refusal> {
        let left = self
            .routing_request
            .deadline
            .since(self.context.node.clock.now());
        if left.is_zero() {
            let message = "the deadline passed before the call was answered";
            let refusal = Refusal::not_run(Code::DeadlineUnreachable, message);
            return Err(Refusal {
                execution,
                ..refusal
            });
        }
        Ok(left)
    }
}

fn final_refusal(execution: Execution) -> Refusal {
    match execution {
        Execution::NotRun => Refusal::not_run(Code::NoEndpoint, "no endpoint could be reached"),
        Execution::Unknown => Refusal::may_have_run(Code::OutcomeUnknown, "the answer was lost"),
    }
}
