use std::io;
use std::time::Duration;

use ragwortgrade_policy::Request;
use ragwortgrade_schema::engine;
use serde_json::json;

use super::admission::{self, Admitted};
use super::{Code, Context, Incoming, Refusal, Reply};
use crate::attempt::{Completed, Completion, TokenSink, random_identity};

const JSON: &str = "application/json";
/// Rough length of a token in English text; only routing uses the estimate.
const BYTES_PER_TOKEN: usize = 4;

/// Serves a chat completion, streamed or whole.
pub(super) fn serve(context: &Context, incoming: &Incoming, reply: &mut Reply) -> io::Result<()> {
    match prepare(context, incoming) {
        Ok((mut completion, identity)) => {
            if completion.body.stream {
                streamed(&mut completion, identity, reply)
            } else {
                whole(&mut completion, &identity, reply)
            }
        }
        Err(refusal) => reply.refuse(&refusal),
    }
}

fn prepare<'a>(
    context: &'a Context,
    incoming: &Incoming,
) -> Result<(Completion<'a>, String), Refusal> {
    let body: engine::Completion = serde_json::from_slice(&incoming.body)
        .map_err(|error| Refusal::not_run(Code::Malformed, format!("body: {error}")))?;
    let admitted = admission::model(context, incoming, &body)?;
    let identity =
        random_identity().map_err(|error| Refusal::not_run(Code::NoEndpoint, error.to_string()))?;
    let completion = Completion {
        context,
        routed: routed(context, &body, admitted),
        body,
        next_index: 0,
    };
    Ok((completion, identity))
}

fn routed(context: &Context, body: &engine::Completion, admitted: Admitted) -> Request {
    let arrived = context.node.clock.now();
    let tokens = |message: &engine::Message| message.content.len().div_ceil(BYTES_PER_TOKEN);
    let prompt_tokens: usize = body.messages.iter().map(tokens).sum();
    Request {
        id: context.next_request(),
        service: admitted.service,
        workspace: admitted.workspace,
        model: Some(body.model.clone()),
        priority: body.priority.unwrap_or(admitted.priority),
        prompt_tokens: prompt_tokens as u32,
        prefix: None,
        prefix_tokens: 0,
        max_output_tokens: body.max_tokens,
        arrived,
        deadline: arrived + Duration::from_millis(body.deadline_ms.unwrap_or(admitted.deadline_ms)),
        avoid: Vec::new(),
    }
}

fn streamed(
    completion: &mut Completion<'_>,
    identity: String,
    reply: &mut Reply,
) -> io::Result<()> {
    let model = completion.body.model.to_string();
    let mut events = Events {
        reply,
        identity,
        model,
    };
    match completion.run(&mut events) {
        Ok(Completed::CallerGone) => Ok(()),
        Ok(Completed::Whole) => {
            events.start()?;
            reply.done()
        }
        Err(refusal) => reply.refuse(&refusal),
    }
}

fn whole(completion: &mut Completion<'_>, identity: &str, reply: &mut Reply) -> io::Result<()> {
    let mut text = Text::default();
    match completion.run(&mut text) {
        Ok(_) => {
            let answer = json!({
                "id": identity,
                "object": "chat.completion",
                "model": completion.body.model,
                "choices": [{
                    "index": 0,
                    "message": {"role": "assistant", "content": text.text},
                    "finish_reason": "stop",
                }],
                "usage": {
                    "prompt_tokens": completion.routed.prompt_tokens,
                    "completion_tokens": text.tokens,
                },
            });
            reply.whole(200, JSON, answer.to_string().as_bytes())
        }
        Err(refusal) => reply.refuse(&refusal),
    }
}

/// Sends each token as an event of its own.
struct Events<'a> {
    reply: &'a mut Reply,
    identity: String,
    model: String,
}

impl Events<'_> {
    fn start(&mut self) -> io::Result<()> {
        if self.reply.started() {
            return Ok(());
        }
        self.reply.start_events()
    }
}

impl TokenSink for Events<'_> {
    fn token(&mut self, index: u32, text: &str) -> io::Result<()> {
        self.start()?;
        let chunk = json!({
            "id": self.identity,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
        });
        self.reply
            .event(&format!("{}.{index}", self.identity), &chunk.to_string())
    }
}

/// Collects the tokens of a whole answer.
#[derive(Default)]
struct Text {
    text: String,
    tokens: u32,
}

impl TokenSink for Text {
    fn token(&mut self, _index: u32, text: &str) -> io::Result<()> {
        self.text.push_str(text);
        self.tokens += 1;
        Ok(())
    }
}
