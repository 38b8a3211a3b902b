use serde::Deserialize;

use super::{Answer, End, PlainQuestion, Question};

/// What an answer is worth, judged from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer to this question.
    Complete,
    /// A refusal that says that the request did not run.
    NotRun,
    /// A refusal that leaves open whether the request ran.
    Unknown,
    /// Neither a whole answer nor a refusal.
    Lost,
    /// Something that is no part of the answer to this question.
    Crossed,
}

#[derive(Deserialize)]
struct Echo {
    path: String,
    echo: String,
}

impl Question {
    /// Judges an answer that starts at token `from`.
    #[must_use]
    pub fn judge(&self, answer: &Answer, from: usize) -> Verdict {
        let expected = self.expected().split_off(from).concat();
        let text = answer.text();
        if !expected.starts_with(&text) {
            return Verdict::Crossed;
        }
        judge_end(&answer.end, text == expected)
    }
}

impl PlainQuestion {
    /// Judges an answer of the plain service stand-in, which repeats the question.
    #[must_use]
    pub fn judge(&self, answer: &Answer) -> Verdict {
        if answer.end != End::Whole {
            return judge_end(&answer.end, false);
        }
        match serde_json::from_str::<Echo>(&answer.text()) {
            Ok(echo) if echo.echo == self.body && echo.path == self.path => Verdict::Complete,
            Ok(_) => Verdict::Crossed,
            Err(_) => Verdict::Lost,
        }
    }
}

fn judge_end(end: &End, is_whole: bool) -> Verdict {
    match end {
        End::Whole if is_whole => Verdict::Complete,
        End::Whole | End::Broken(_) => Verdict::Lost,
        End::Refused(refusal) if refusal.is_not_run => Verdict::NotRun,
        End::Refused(_) => Verdict::Unknown,
    }
}
