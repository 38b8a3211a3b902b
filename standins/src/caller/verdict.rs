use serde::Deserialize;

use super::{Answer, ChatRequest, End, PlainRequest};

/// Result of checking an answer against its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The complete and correct answer.
    Complete,
    /// A refusal that guarantees that the request did not run.
    NotRun,
    /// A refusal that does not say whether the request ran.
    Unknown,
    /// Neither a complete answer nor a refusal.
    Lost,
    /// Content that does not belong to the answer to this request.
    Crossed,
}

#[derive(Deserialize)]
struct Echo {
    path: String,
    echo: String,
}

impl ChatRequest {
    /// Checks an answer that starts at token `from`.
    #[must_use]
    pub fn check(&self, answer: &Answer, from: usize) -> Verdict {
        let expected = self.expected().split_off(from).concat();
        let text = answer.text();
        if !expected.starts_with(&text) {
            return Verdict::Crossed;
        }
        check_end(&answer.end, text == expected)
    }
}

impl PlainRequest {
    /// Checks an answer of the plain service stand-in, which repeats path and body of the request.
    #[must_use]
    pub fn check(&self, answer: &Answer) -> Verdict {
        if answer.end != End::Complete {
            return check_end(&answer.end, false);
        }
        match serde_json::from_str::<Echo>(&answer.text()) {
            Ok(echo) if echo.echo == self.body && echo.path == self.path => Verdict::Complete,
            Ok(_) => Verdict::Crossed,
            Err(_) => Verdict::Lost,
        }
    }
}

fn check_end(end: &End, is_complete: bool) -> Verdict {
    match end {
        End::Complete if is_complete => Verdict::Complete,
        End::Complete | End::Broken(_) => Verdict::Lost,
        End::Refused(refusal) if refusal.is_not_run => Verdict::NotRun,
        End::Refused(_) => Verdict::Unknown,
    }
}
