use std::thread;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ragwortgrade_policy::Instant;
use ragwortgrade_policy::claim::{Hash128, shard_of};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ClaimState, OutcomeKind, Recorded,
};

use super::outcome_queue;
use crate::endpoint::PlainResponse;
use crate::front::{Code, Context, Refusal};

/// Time after which a request without a claim is refused; long enough for a failed owner to be
/// replaced.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Time to record a release before the caller is answered and can use the key again.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to record an outcome after the caller was answered, before it moves to the background
/// queue.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest body that is recorded. Of a response with a longer one, only the status and content type
/// are recorded.
const BODY_BYTES_MAX: usize = 4 * 1_024;

/// Claims the idempotency key of a request that must not run twice, and records the outcome.
#[derive(Debug)]
pub(crate) struct Claimant<'a> {
    context: &'a Context,
    shard: u8,
    request: ClaimRequest,
}

/// Result of a claim that was not refused.
#[derive(Debug)]
pub(crate) enum ClaimDecision {
    /// This attempt may send the request once.
    Granted,
    /// The request ran before, with this response.
    Done(PlainResponse),
}

impl<'a> Claimant<'a> {
    pub(crate) fn new(context: &'a Context, key: u128, request: u128, attempt: &str) -> Self {
        Self {
            context,
            shard: shard_of(Hash128(key)),
            request: ClaimRequest {
                key: Hash128(key).to_string(),
                request: Hash128(request).to_string(),
                claimant: context.node.settings.daemon.id.clone(),
                incarnation: context.node.incarnation,
                attempt: attempt.to_owned(),
            },
        }
    }

    /// Obtains the claim, or fails with the reason why the request is not sent.
    ///
    /// When an answer is lost, the claim is repeated; the owner grants it again to the same
    /// attempt.
    pub(crate) fn claim(&self) -> Result<ClaimDecision, Refusal> {
        let end = self.context.node.clock.now() + CLAIM_TIMEOUT;
        let mut owner = self.owner();
        loop {
            let answer = owner.as_ref().map(|owner| {
                let answer = self.context.peers.claim(owner, &self.request);
                answer.inspect_err(|error| log::debug!("claim was not answered: {error}"))
            });
            match answer {
                Some(Ok(answer)) if answer.state == ClaimState::NotOwner => {
                    owner = answer.owner.or_else(|| self.owner());
                }
                // A caller that resends at once should get the response rather than a refusal.
                Some(Ok(answer))
                    if answer.state == ClaimState::InProgress
                        && self.context.node.clock.now() < end => {}
                Some(Ok(answer)) => return Self::decide(answer),
                Some(Err(_)) | None => owner = self.owner(),
            }
            if self.context.node.clock.now() >= end {
                return Err(Self::unavailable());
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Records that the request did not run, so that its key can be used again.
    pub(crate) fn release(&self) {
        let end = self.context.node.clock.now() + RELEASE_TIMEOUT;
        self.settle(OutcomeKind::Released, None, end);
    }

    /// Records the response, which later requests with the same key will get.
    pub(crate) fn record_response(&self, response: &PlainResponse) {
        let end = self.context.node.clock.now() + SETTLE_TIMEOUT;
        self.settle(OutcomeKind::Done, Some(to_recorded(response)), end);
    }

    /// Records that the request was sent and that its outcome is unknown.
    pub(crate) fn record_unknown(&self) {
        let end = self.context.node.clock.now() + SETTLE_TIMEOUT;
        self.settle(OutcomeKind::Unknown, None, end);
    }

    /// Turns an owner's answer into a grant, a recorded response or a refusal.
    ///
    /// A refusal covers every submission of the same request with the key: it says "not run" only
    /// when none has run.
    fn decide(answer: ClaimAnswer) -> Result<ClaimDecision, Refusal> {
        let may_have_run = |code, message: &str| Err(Refusal::may_have_run(code, message));
        match answer.state {
            ClaimState::Granted => Ok(ClaimDecision::Granted),
            ClaimState::Done => match answer.recorded {
                Some(recorded) => Ok(ClaimDecision::Done(from_recorded(recorded))),
                None => may_have_run(Code::OutcomeUnknown, "the answer was not recorded"),
            },
            ClaimState::InProgress => may_have_run(
                Code::InProgress,
                "the request with this idempotency key is running",
            ),
            ClaimState::OutcomeUnknown => may_have_run(
                Code::OutcomeUnknown,
                "a request with this idempotency key was sent; its outcome is not known",
            ),
            ClaimState::KeyConflict => Err(Refusal::not_run(
                Code::KeyConflict,
                "the idempotency key was used with another request",
            )),
            ClaimState::Absent => {
                let message = "the request could not be recorded and was not sent";
                Err(Refusal::not_run(Code::ClaimsUnavailable, message))
            }
            ClaimState::Unavailable | ClaimState::NotOwner => Err(Self::unavailable()),
        }
    }

    fn unavailable() -> Refusal {
        let message = "this submission was not sent; whether an earlier one with the same \
                       idempotency key ran cannot be found out now";
        Refusal::may_have_run(Code::ClaimsUnavailable, message)
    }

    fn settle(&self, outcome: OutcomeKind, recorded: Option<Recorded>, end: Instant) {
        let outcome = ClaimOutcome {
            key: self.request.key.clone(),
            attempt: self.request.attempt.clone(),
            outcome,
            recorded,
        };
        while !outcome_queue::report(self.context.peers.as_ref(), &outcome) {
            if self.context.node.clock.now() >= end {
                return self.context.outcome_queue.push(outcome);
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn owner(&self) -> Option<Name> {
        outcome_queue::owner(self.context.peers.as_ref(), self.shard)
    }
}

fn to_recorded(response: &PlainResponse) -> Recorded {
    let truncated = response.body.len() > BODY_BYTES_MAX;
    Recorded {
        status: response.status,
        content_type: response.content_type.clone(),
        body: if truncated {
            String::new()
        } else {
            STANDARD.encode(&response.body)
        },
        truncated,
    }
}

/// Rebuilds a recorded response. If its body was too long to record, another body says so, which
/// cannot be mistaken for the original one.
fn from_recorded(recorded: Recorded) -> PlainResponse {
    if recorded.truncated {
        return PlainResponse {
            status: recorded.status,
            content_type: Some("application/json".to_owned()),
            body: br#"{"recorded":{"truncated":true}}"#.to_vec(),
        };
    }
    PlainResponse {
        status: recorded.status,
        body: STANDARD.decode(&recorded.body).unwrap_or_default(),
        content_type: recorded.content_type,
    }
}
