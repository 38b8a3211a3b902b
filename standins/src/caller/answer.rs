use std::time::Duration;

use ureq::Body;
use ureq::http::Response;

use super::Refusal;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The response was received up to its end marker.
    Complete,
    /// The daemon refused the request.
    Refused(Refusal),
    /// The connection failed, or the response was not valid; holds the reason.
    Broken(String),
}

/// Response as a caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Tokens in order; an unstreamed text is a single token.
    pub tokens: Vec<String>,
    /// Time from sending the request to receiving the first token.
    pub first_token: Option<Duration>,
    /// Id of the last event that was received completely, for resuming the stream.
    pub last_event: Option<String>,
    /// How the answer ended.
    pub end: End,
    /// Id of the event that is being received.
    pub(super) pending_event: Option<String>,
}

impl Answer {
    pub(super) fn complete(tokens: Vec<String>) -> Self {
        Self {
            tokens,
            first_token: None,
            last_event: None,
            end: End::Complete,
            pending_event: None,
        }
    }

    pub(super) fn broken(reason: String) -> Self {
        Self {
            end: End::Broken(reason),
            ..Self::complete(Vec::new())
        }
    }

    pub(super) fn refused(response: &mut Response<Body>) -> Self {
        let status = response.status().as_u16();
        let end = match response.body_mut().read_to_string() {
            Ok(body) => match Refusal::parse(status, &body) {
                Some(refusal) => End::Refused(refusal),
                None => End::Broken(format!("status {status}: {body}")),
            },
            Err(error) => End::Broken(error.to_string()),
        };
        Self {
            end,
            ..Self::complete(Vec::new())
        }
    }

    pub(super) fn push(&mut self, token: String, elapsed: Duration) {
        self.tokens.push(token);
        self.first_token.get_or_insert(elapsed);
        self.last_event = self.pending_event.take();
    }

    /// Returns the received tokens as one text.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }

    /// Returns the refusal, if the request was refused.
    #[must_use]
    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            End::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }
}
