use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ragwortgrade_policy::Request;
use ragwortgrade_policy::event::Event;
use ragwortgrade_policy::suspect::Admission;
use ragwortgrade_schema::engine::{self, KvExport, KvImport};

use super::failure::{is_permanent, may_have_run};
use super::{FAILURES_MAX, Placement, TokenSink, random_identity};
use crate::endpoint::{Call, Engine, Error, Execution, TokenStream};
use crate::front::{Code, Context, Refusal};

/// Time to find another engine for a request whose engine failed. The request's deadline covers
/// only the first token and may have passed by then, but the request can no longer be refused as
/// not run, so it completes after its deadline.
const RESUME_TIMEOUT: Duration = Duration::from_secs(20);

/// A completion, run on one engine after another until every token has been sent.
#[derive(Debug)]
pub(crate) struct Completion<'a> {
    pub(crate) context: &'a Context,
    pub(crate) routing_request: Request,
    /// Digest of the workspace, service and body, by which strikes are recorded.
    pub(crate) content_digest: u128,
    pub(crate) body: engine::Completion,
    /// Index of the next token to send to the caller.
    pub(crate) next_index: u32,
}

/// How a completion without an error ended.
#[derive(Debug)]
pub(crate) enum CompletionOutcome {
    /// Every token was passed to the sink.
    Complete,
    /// The caller closed its connection.
    CallerDisconnected,
}

enum AttemptOutcome {
    Complete,
    CallerDisconnected,
    Failed(Error),
}

impl Completion<'_> {
    /// Runs the completion; when an engine fails, another one resumes at the next token.
    ///
    /// Completions have no side effects, so attempts whose outcome is unknown are retried too.
    pub(crate) fn run(&mut self, sink: &mut dyn TokenSink) -> Result<CompletionOutcome, Refusal> {
        let first = self.next_index;
        let mut execution = Execution::NotRun;
        let mut failures = 0;
        loop {
            let before = self.next_index;
            let placement = Placement::find(
                self.context,
                &mut self.routing_request,
                self.content_digest,
                &|| sink.is_abandoned(),
            );
            let mut placement = placement.map_err(|refusal| Refusal {
                execution,
                ..refusal
            })?;
            let error = match self.attempt(&placement, sink) {
                AttemptOutcome::Complete => {
                    self.context.trials.record_completion(self.content_digest);
                    placement.output_tokens = self.next_index - before;
                    return Ok(CompletionOutcome::Complete);
                }
                AttemptOutcome::CallerDisconnected => {
                    return Ok(CompletionOutcome::CallerDisconnected);
                }
                AttemptOutcome::Failed(error) => error,
            };
            self.context.handle_failure(
                &placement.endpoint,
                placement.incarnation,
                self.content_digest,
                &error,
            );
            if may_have_run(&error) {
                execution = Execution::Unknown;
                placement.end_trial();
            }
            if self.next_index > before {
                failures = 0;
            }
            failures += 1;
            if failures >= FAILURES_MAX || is_permanent(&error) {
                return Err(final_refusal(&error, execution));
            }
            self.routing_request
                .avoid
                .push(placement.endpoint.id.clone());
            drop(placement);
            if self.next_index > first || execution == Execution::Unknown {
                self.routing_request.deadline = self.context.node.clock.now() + RESUME_TIMEOUT;
            }
            if !self.context.acquire_retry(self.routing_request.deadline) {
                return Err(final_refusal(&error, execution));
            }
        }
    }

    fn attempt(&mut self, placement: &Placement<'_>, sink: &mut dyn TokenSink) -> AttemptOutcome {
        let Ok(attempt) = random_identity() else {
            let reason = "the operating system provides no random numbers".to_owned();
            return AttemptOutcome::Failed(Error::Unreachable { reason });
        };
        if !self.prefill(placement, &attempt) {
            // Ends the attempt as if the decode engine, which is not called, were busy. The content
            // has a strike now, so the next attempt runs as a trial, if at all.
            const BUSY: u16 = 503;
            return AttemptOutcome::Failed(Error::Refused { status: BUSY });
        }
        let call = Call {
            attempt,
            priority: self.routing_request.priority,
            prefix: self.routing_request.prefix,
            resume_from: self.next_index,
            completion: engine::Completion {
                deadline_ms: Some(self.time_left_ms()),
                ..self.body.clone()
            },
        };
        let (engines, address) = (&self.context.node.engines, &placement.endpoint.address);
        let outcome = match engines.complete(address, &call) {
            Ok(mut stream) => self.relay(stream.as_mut(), sink),
            Err(error) => AttemptOutcome::Failed(error),
        };
        match &outcome {
            AttemptOutcome::CallerDisconnected => cancel(engines.as_ref(), address, &call.attempt),
            AttemptOutcome::Failed(error) if may_have_run(error) => {
                self.cancel_in_background(address, call.attempt);
            }
            AttemptOutcome::Complete | AttemptOutcome::Failed(_) => {}
        }
        outcome
    }

    /// Cancels a failed attempt that may still be running, without delaying the next attempt: an
    /// engine that is paused or partitioned may not answer before its timeout.
    fn cancel_in_background(&self, address: &str, attempt: String) {
        let engines = Arc::clone(&self.context.node.engines);
        let address = address.to_owned();
        let spawned = thread::Builder::new()
            .name("cancel".to_owned())
            .spawn(move || cancel(engines.as_ref(), &address, &attempt));
        if let Err(error) = spawned {
            log::warn!("cannot spawn a thread to cancel an attempt: {error}");
        }
    }

    fn time_left_ms(&self) -> u64 {
        let left = self
            .routing_request
            .deadline
            .since(self.context.node.clock.now());
        left.as_millis() as u64
    }

    /// Computes the prompt's KV cache on the prefill engine, if the router selected one, and
    /// transfers it to the decode engine.
    ///
    /// When either step fails, the decode engine computes the prompt itself. A trial uses only one
    /// engine, so that a crash can be attributed to its content. Returns `false` when the prefill
    /// engine crashed; the request may then run only as a trial, or not at all after a second
    /// strike.
    fn prefill(&self, placement: &Placement<'_>, attempt: &str) -> bool {
        let directory = &self.context.node.directory;
        let Some(prefill) = placement
            .dispatch
            .prefill
            .as_ref()
            .filter(|_| !placement.is_trial())
            .and_then(|prefill| directory.get(prefill))
        else {
            return true;
        };
        let export = KvExport {
            attempt: attempt.to_owned(),
            completion: self.body.clone(),
            priority: self.routing_request.priority,
        };
        let engines = &self.context.node.engines;
        let incarnation = self.context.prober.incarnation(&prefill);
        self.context
            .trials
            .record_start(&prefill.id, self.content_digest);
        let exported = engines.export(&prefill.address, &export);
        self.context
            .trials
            .record_end(&prefill.id, self.content_digest);
        let handle = match exported {
            Ok(handle) => handle,
            Err(error) => {
                self.context
                    .handle_failure(&prefill, incarnation, self.content_digest, &error);
                return self.context.trials.admission(self.content_digest) == Admission::Allowed;
            }
        };
        let import = KvImport {
            attempt: attempt.to_owned(),
            from: prefill.address,
            handle: handle.handle,
        };
        if let Err(error) = engines.import(&placement.endpoint.address, &import) {
            log::info!(
                endpoint:% = placement.endpoint.id;
                "KV cache import failed; the decode engine computes the prompt: {error}"
            );
        }
        true
    }

    /// Passes the tokens of an engine's stream to the sink until the stream ends.
    fn relay(&mut self, stream: &mut dyn TokenStream, sink: &mut dyn TokenSink) -> AttemptOutcome {
        let mut is_first = true;
        loop {
            match stream.next_token() {
                Ok(Some(token)) => {
                    if std::mem::take(&mut is_first) {
                        let request = self.routing_request.id;
                        self.context.node.observe(Event::FirstToken { request });
                    }
                    if sink.push_token(token.index, &token.token).is_err() {
                        return AttemptOutcome::CallerDisconnected;
                    }
                    self.next_index = token.index + 1;
                }
                Ok(None) => return AttemptOutcome::Complete,
                Err(error) => return AttemptOutcome::Failed(error),
            }
        }
    }
}

fn cancel(engines: &dyn Engine, address: &str, attempt: &str) {
    if let Err(error) = engines.cancel(address, attempt) {
        log::debug!("cancelling an attempt failed: {error}");
    }
}

fn final_refusal(error: &Error, execution: Execution) -> Refusal {
    let refusal = match error {
        _ if is_permanent(error) => {
            Refusal::not_run(Code::Malformed, "the engine refused the request")
        }
        Error::Unreachable { .. } if execution == Execution::NotRun => {
            Refusal::not_run(Code::NoEndpoint, "no engine could be reached")
        }
        _ => Refusal::not_run(Code::EndpointFailed, "the engines failed the request"),
    };
    Refusal {
        execution,
        ..refusal
    }
}
