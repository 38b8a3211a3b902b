use std::io;
use std::time::Duration;

use ragwortgrade_policy::Request;
use ragwortgrade_policy::suspect::format_digest;
use ragwortgrade_schema::engine;
use ragwortgrade_schema::peer::{StreamAnswer, StreamRequest};
use serde_json::json;
use xxhash_rust::xxh3::Xxh3;

use super::admission::{self, AdmittedRequest};
use super::digest::digest;
use super::sinks::{EventSink, TextSink};
use super::{Code, Context, IncomingRequest, LastEventId, Refusal, Reply};
use crate::attempt::{Completion, CompletionOutcome, daemon_tag, request_identity};

const JSON: &str = "application/json";
/// Approximate length of a token in English text; used for routing, limits and the `usage` of a
/// response.
const BYTES_PER_TOKEN: usize = 4;
/// Longest deadline that a caller can set, which bounds how long its request waits in the queue.
const DEADLINE_MAX: Duration = Duration::from_hours(1);

/// An admitted chat completion.
struct Chat<'a> {
    completion: Completion<'a>,
    /// Whether the caller requested server-sent events.
    is_streamed: bool,
    /// Identity of the request in the response.
    identity: String,
    last_event_id: Option<LastEventId>,
}

/// Serves a chat completion, streamed or as a single response body.
pub(super) fn serve(
    context: &Context,
    incoming: &IncomingRequest,
    reply: &mut Reply,
) -> io::Result<()> {
    match Chat::admit(context, incoming) {
        Ok(mut chat) => {
            let workspace = chat.completion.routing_request.workspace.clone();
            let served = if chat.is_streamed {
                chat.stream(reply)
            } else {
                chat.respond(reply)
            };
            context.charge(&workspace, chat.completion.next_index);
            served
        }
        Err(refusal) => reply.refuse(&refusal),
    }
}

impl<'a> Chat<'a> {
    fn admit(context: &'a Context, incoming: &IncomingRequest) -> Result<Self, Refusal> {
        let body: engine::Completion = serde_json::from_slice(&incoming.body)
            .map_err(|error| Refusal::not_run(Code::Malformed, format!("body: {error}")))?;
        let last_event_id = incoming
            .header("Last-Event-ID")
            .filter(|_| body.stream)
            .map(LastEventId::parse)
            .transpose()?;
        let admitted =
            admission::admit_model(context, incoming, &body, estimate_tokens(&body.messages))?;
        let identity = match &last_event_id {
            Some(last) => last.request.clone(),
            None => request_identity(&context.node.settings.daemon.id)
                .map_err(|error| Refusal::not_run(Code::NoEndpoint, error.to_string()))?,
        };
        let content_digest = digest(&[
            admitted.workspace.as_bytes(),
            admitted.service.as_bytes(),
            &incoming.body,
        ]);
        let routing_request = routing_request(context, &body, admitted);
        Ok(Self {
            is_streamed: body.stream,
            completion: Completion {
                context,
                routing_request,
                content_digest,
                // The engine always streams, also when the caller gets a single response body.
                body: engine::Completion {
                    stream: true,
                    ..body
                },
                next_index: 0,
            },
            identity,
            last_event_id,
        })
    }

    fn stream(&mut self, reply: &mut Reply) -> io::Result<()> {
        let context = self.completion.context;
        let content_digest = format_digest(self.completion.content_digest);
        let model = self.completion.body.model.to_string();
        let replayed = self.last_event_id.take().map(|last| {
            self.completion.next_index = last.index + 1;
            fetch_replay(context, last, &content_digest)
        });
        let first_index = self.completion.next_index;
        context
            .replay_buffers
            .begin(&self.identity, &content_digest, first_index);
        let mut events = EventSink::open(context, reply, &self.identity, model);
        let served = match events.replay(&mut self.completion.next_index, replayed) {
            Ok(true) => events.finish(),
            Ok(false) => self.run_streamed(events),
            Err(error) => Err(error),
        };
        context.replay_buffers.end(&self.identity);
        served
    }

    /// Runs the completion and sends its tokens as events.
    fn run_streamed(&mut self, mut events: EventSink<'_>) -> io::Result<()> {
        match self.completion.run(&mut events) {
            Ok(CompletionOutcome::Complete) => events.finish(),
            Ok(CompletionOutcome::CallerDisconnected) => {
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Err(refusal) => events.refuse(&refusal),
        }
    }

    fn respond(&mut self, reply: &mut Reply) -> io::Result<()> {
        let mut text = TextSink::open(reply);
        let completed = self.completion.run(&mut text);
        let text = text.into_text();
        match completed {
            Ok(CompletionOutcome::CallerDisconnected) => {
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Ok(CompletionOutcome::Complete) => {
                let body = self.completion_body(&text).to_string();
                reply.respond(200, JSON, body.as_bytes())
            }
            Err(refusal) => reply.refuse(&refusal),
        }
    }

    fn completion_body(&self, text: &str) -> serde_json::Value {
        let (prompt, output) = (
            self.completion.routing_request.prompt_tokens,
            self.completion.next_index,
        );
        json!({
            "id": self.identity,
            "object": "chat.completion",
            "created": self.completion.context.node.clock.unix_ms() / 1_000,
            "model": self.completion.body.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": output,
                "total_tokens": prompt + output,
            },
        })
    }
}

/// Returns the tokens after the caller's last event from the replay buffer of this daemon or of the
/// stream's entry daemon.
fn fetch_replay(context: &Context, last: LastEventId, content_digest: &str) -> StreamAnswer {
    let tag = last.daemon_tag();
    let request = StreamRequest {
        after: last.index,
        content: Some(content_digest.to_owned()),
        request: last.request,
    };
    let own = context.replay_buffers.replay(&request);
    if own.known {
        return own;
    }
    let members = context.peers.members().into_iter();
    let others = members
        .map(|member| member.identity.id)
        .filter(|id| *id != context.node.settings.daemon.id && daemon_tag(id) == tag);
    for daemon in others {
        match context.peers.stream(&daemon, &request) {
            Ok(answer) if answer.known => return answer,
            Ok(_) => {}
            Err(error) => {
                log::debug!("cannot fetch a replay buffer from its entry daemon: {error}");
            }
        }
    }
    own
}

fn estimate_tokens(messages: &[engine::Message]) -> u32 {
    let count = |message: &engine::Message| message.content.len().div_ceil(BYTES_PER_TOKEN);
    messages.iter().map(count).sum::<usize>() as u32
}

fn routing_request(
    context: &Context,
    body: &engine::Completion,
    admitted: AdmittedRequest,
) -> Request {
    let arrived = context.node.clock.now();
    let priority = admitted.priority(body.priority);
    let deadline_ms = body.deadline_ms.unwrap_or(admitted.deadline_ms);
    let deadline = Duration::from_millis(deadline_ms).min(DEADLINE_MAX);
    let prefix = shared_prefix(&admitted, body);
    Request {
        id: context.next_request(),
        service: admitted.service,
        workspace: admitted.workspace,
        model: Some(body.model.clone()),
        priority,
        prompt_tokens: estimate_tokens(&body.messages),
        prefix: prefix.map(|(hash, _)| hash),
        prefix_tokens: prefix.map_or(0, |(_, tokens)| tokens),
        max_output_tokens: body.max_tokens,
        arrived,
        deadline: arrived + deadline,
        avoid: Vec::new(),
    }
}

/// Returns the hash and token count of the messages before the last one, the prefix that turns of a
/// conversation and requests with the same instructions share.
///
/// The hash includes the workspace: otherwise, cache hits would reveal to one workspace what
/// another one sends.
fn shared_prefix(admitted: &AdmittedRequest, body: &engine::Completion) -> Option<(u64, u32)> {
    let (_, shared) = body.messages.split_last()?;
    if shared.is_empty() {
        return None;
    }
    let mut hash = Xxh3::new();
    let mut add = |text: &str| {
        hash.update(&(text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    };
    add(&admitted.workspace);
    add(&body.model);
    for message in shared {
        add(&message.role);
        add(&message.content);
    }
    Some((hash.digest(), estimate_tokens(shared)))
}
