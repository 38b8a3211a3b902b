use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{ClaimState, Recorded};

use super::{Claim, Hash128, Outcome};

/// A request to the owner of a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Claim the right to send a request.
    Claim {
        /// Hash of workspace, service and idempotency key.
        key: Hash128,
        /// Digest of the request's content.
        digest: Hash128,
        /// Daemon that requests the claim.
        claimant: Name,
        /// Incarnation of that daemon.
        incarnation: u64,
        /// Identity of the attempt.
        attempt: Hash128,
    },
    /// Record the outcome of a claim.
    Settle {
        /// Key of the claim.
        key: Hash128,
        /// Identity of the attempt.
        attempt: Hash128,
        /// Outcome to record.
        outcome: Outcome,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answer to a claim, with the recorded response for [`ClaimState::Done`].
    Claim(ClaimState, Option<Recorded>),
    /// Answer to an outcome: whether it is recorded or needs no record.
    Settled(bool),
}

impl Request {
    pub(super) fn key(&self) -> Hash128 {
        match self {
            Self::Claim { key, .. } | Self::Settle { key, .. } => *key,
        }
    }

    /// Returns the answer to a request that could not be recorded, when the log is known to contain
    /// no run of its key.
    pub(super) fn absent(&self) -> Answer {
        match self {
            Self::Claim { .. } => Answer::Claim(ClaimState::Absent, None),
            Self::Settle { .. } => Answer::Settled(false),
        }
    }

    /// Returns the answer to a request that could not be decided.
    #[must_use]
    pub fn unavailable(&self) -> Answer {
        match self {
            Self::Claim { .. } => Answer::Claim(ClaimState::Unavailable, None),
            Self::Settle { .. } => Answer::Settled(false),
        }
    }

    /// Answers from a recorded claim; `None` when a record must be written first.
    pub(super) fn answer_from(
        &self,
        claim: &Claim,
        is_running: impl Fn(&Claim) -> bool,
    ) -> Option<Answer> {
        let answer = |state| Some(Answer::Claim(state, None));
        match self {
            Self::Settle {
                attempt, outcome, ..
            } => {
                let is_settled = claim.attempt != *attempt
                    || claim.outcome == *outcome
                    || !matches!(claim.outcome, Outcome::Pending | Outcome::Unknown);
                is_settled.then_some(Answer::Settled(true))
            }
            Self::Claim { attempt, .. } if claim.outcome == Outcome::Released => {
                // The attempt released its claim, so a delayed copy of its request must not be
                // granted.
                if claim.attempt == *attempt {
                    return answer(ClaimState::Unavailable);
                }
                None
            }
            Self::Claim { digest, .. } if claim.digest != *digest => {
                answer(ClaimState::KeyConflict)
            }
            Self::Claim { attempt, .. } => match &claim.outcome {
                Outcome::Done(recorded) => {
                    Some(Answer::Claim(ClaimState::Done, Some(recorded.clone())))
                }
                Outcome::Pending if claim.attempt == *attempt => answer(ClaimState::Granted),
                Outcome::Pending if is_running(claim) => answer(ClaimState::InProgress),
                Outcome::Pending | Outcome::Unknown | Outcome::Released => {
                    answer(ClaimState::OutcomeUnknown)
                }
            },
        }
    }
}
