use std::io;

use ragwortgrade_policy::decision::Dispatch;
use ragwortgrade_policy::event::Event;
use ragwortgrade_schema::engine;

use super::random_identity;
use crate::endpoint::{Call, Error, TokenStream};
use crate::front::{Code, Context, Refusal};

/// Engines that one request is sent to before the daemon gives up.
const ATTEMPTS_MAX: u32 = 4;

/// Where the tokens of a completion go.
pub(crate) trait TokenSink {
    /// Takes the next token; an error means that the caller has gone away.
    fn token(&mut self, index: u32, text: &str) -> io::Result<()>;
}

/// A completion, run on one engine after another until it is whole.
pub(crate) struct Completion<'a> {
    pub(crate) context: &'a Context,
    pub(crate) routed: ragwortgrade_policy::Request,
    pub(crate) body: engine::Completion,
    pub(crate) next_index: u32,
}

/// How a completion ended.
#[derive(Debug)]
pub(crate) enum Completed {
    /// Every token was handed over.
    Whole,
    /// The caller closed its connection.
    CallerGone,
}

/// How one attempt ended.
enum Ended {
    Whole,
    CallerGone,
    Failed(Error),
}

impl Completion<'_> {
    /// Runs the completion, resuming on another engine when one breaks.
    pub(crate) fn run(&mut self, sink: &mut dyn TokenSink) -> Result<Completed, Refusal> {
        let mut attempts = 0;
        loop {
            let dispatch = self.context.place(&self.routed)?;
            attempts += 1;
            let first = self.next_index;
            let ended = self.attempt(&dispatch, sink);
            self.context
                .finished(self.routed.id, self.next_index - first);
            match ended {
                Ended::Whole => return Ok(Completed::Whole),
                Ended::CallerGone => return Ok(Completed::CallerGone),
                Ended::Failed(error) if attempts >= ATTEMPTS_MAX => {
                    return Err(give_up(&error));
                }
                Ended::Failed(_) => self.routed.avoid.push(dispatch.endpoint),
            }
        }
    }

    fn attempt(&mut self, dispatch: &Dispatch, sink: &mut dyn TokenSink) -> Ended {
        let Some(endpoint) = self.context.node.directory.get(&dispatch.endpoint) else {
            let reason = "endpoint has left".to_owned();
            return Ended::Failed(Error::Unreachable { reason });
        };
        let attempt = match random_identity() {
            Ok(attempt) => attempt,
            Err(error) => {
                let reason = error.to_string();
                return Ended::Failed(Error::Unreachable { reason });
            }
        };
        let call = Call {
            attempt,
            priority: self.routed.priority,
            prefix: self.routed.prefix,
            resume_from: self.next_index,
            completion: self.body.clone(),
        };
        let engines = &self.context.node.engines;
        match engines.complete(&endpoint.address, &call) {
            Ok(mut stream) => {
                let ended = self.relay(stream.as_mut(), sink);
                if !matches!(ended, Ended::Whole) {
                    drop(stream);
                    if let Err(error) = engines.cancel(&endpoint.address, &call.attempt) {
                        log::debug!(endpoint = dispatch.endpoint.as_str(); "cancel failed: {error}");
                    }
                }
                ended
            }
            Err(error) => Ended::Failed(error),
        }
    }

    fn relay(&mut self, stream: &mut dyn TokenStream, sink: &mut dyn TokenSink) -> Ended {
        let mut first = true;
        loop {
            match stream.next_token() {
                Ok(Some(token)) => {
                    if std::mem::take(&mut first) {
                        self.context.node.observe(Event::FirstToken {
                            request: self.routed.id,
                        });
                    }
                    if sink.token(token.index, &token.token).is_err() {
                        return Ended::CallerGone;
                    }
                    self.next_index = token.index + 1;
                }
                Ok(None) => return Ended::Whole,
                Err(error) => return Ended::Failed(error),
            }
        }
    }
}

fn give_up(error: &Error) -> Refusal {
    let mut refusal = Refusal::not_run(Code::EndpointFailed, "endpoints failed the request");
    refusal.ran = error.ran();
    refusal
}
