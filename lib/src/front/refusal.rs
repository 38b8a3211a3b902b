use std::time::Duration;

use ragwortgrade_policy::decision;
use serde::Serialize;

use super::Code;
use crate::endpoint::Execution;

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Stable error code.
    pub code: Code,
    /// Message for people; never contains data of another workspace.
    pub message: String,
    /// Whether this request may have run.
    pub execution: Execution,
    /// Time in milliseconds after which a retry may succeed; 0 when it is not known.
    pub retry_after_ms: u64,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Fields<'a>,
}

#[derive(Serialize)]
struct Fields<'a> {
    code: Code,
    message: &'a str,
    ran: &'static str,
    retry_after_ms: u64,
}

impl Refusal {
    /// Creates the refusal of a request that was not run by any endpoint.
    #[must_use]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after_ms: code.retry_after_ms(),
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Replaces the retry time, if one is given.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        if let Some(time) = retry_after {
            self.retry_after_ms = time.as_millis() as u64;
        }
        self
    }

    /// Converts a refusal of the router into the response to the caller.
    #[must_use]
    pub fn from_routing(refusal: &decision::Refusal) -> Self {
        let (code, message) = match refusal.cause {
            decision::Cause::DeadlineUnreachable => {
                (Code::DeadlineUnreachable, "the deadline cannot be met")
            }
            decision::Cause::NoEndpoint => (Code::NoEndpoint, "no endpoint is available"),
            decision::Cause::OverLimit => (Code::OverLimit, "the limit is used up"),
        };
        Self::not_run(code, message).with_retry_after(refusal.retry_after)
    }

    /// Renders the JSON body.
    #[must_use]
    pub fn body(&self) -> String {
        let body = Body {
            error: Fields {
                code: self.code,
                message: &self.message,
                ran: match self.execution {
                    Execution::NotRun => "no",
                    Execution::Unknown => "unknown",
                },
                retry_after_ms: self.retry_after_ms,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}
