use std::io;

use ragwortgrade_schema::peer::StreamAnswer;
use serde_json::json;

use super::{Context, Refusal, Reply};
use crate::attempt::TokenSink;

/// Sends each token as its own event and stores it in the replay buffer, from which a caller that
/// reconnects resumes.
pub(super) struct EventSink<'a> {
    context: &'a Context,
    reply: &'a mut Reply,
    identity: String,
    model: String,
    created: u64,
}

impl<'a> EventSink<'a> {
    pub(super) fn open(
        context: &'a Context,
        reply: &'a mut Reply,
        identity: &str,
        model: String,
    ) -> Self {
        Self {
            context,
            reply,
            identity: identity.to_owned(),
            model,
            created: context.node.clock.unix_ms() / 1_000,
        }
    }

    /// Sends the tokens from a replay buffer; returns whether they complete the stream.
    pub(super) fn replay(
        &mut self,
        next_index: &mut u32,
        replayed: Option<StreamAnswer>,
    ) -> io::Result<bool> {
        let Some(replayed) = replayed else {
            return Ok(false);
        };
        for token in &replayed.tokens {
            self.push_token(*next_index, token)?;
            *next_index += 1;
        }
        Ok(replayed.finished)
    }

    pub(super) fn finish(mut self) -> io::Result<()> {
        self.start()?;
        self.context.replay_buffers.finish(&self.identity);
        self.reply.end_events()
    }

    /// Ends the stream with a refusal; always returns an error, so that the stream does not count
    /// as finished.
    pub(super) fn refuse(self, refusal: &Refusal) -> io::Result<()> {
        self.reply.refuse(refusal)?;
        Err(io::Error::other("stream was refused"))
    }

    fn start(&mut self) -> io::Result<()> {
        if self.reply.is_started() {
            return Ok(());
        }
        self.reply.start_events()
    }
}

impl TokenSink for EventSink<'_> {
    fn push_token(&mut self, index: u32, text: &str) -> io::Result<()> {
        let replay_bytes_max = self.context.node.settings.limits.stream_replay_bytes;
        self.context
            .replay_buffers
            .push(&self.identity, text, replay_bytes_max);
        self.start()?;
        let chunk = json!({
            "id": self.identity,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
        });
        self.reply
            .send_event(&format!("{}.{index}", self.identity), &chunk.to_string())
    }

    fn is_abandoned(&self) -> bool {
        self.reply.is_abandoned()
    }
}

/// Collects the tokens of a response that is not streamed.
pub(super) struct TextSink<'a> {
    reply: &'a Reply,
    text: String,
}

impl<'a> TextSink<'a> {
    pub(super) fn open(reply: &'a Reply) -> Self {
        Self {
            reply,
            text: String::new(),
        }
    }

    pub(super) fn into_text(self) -> String {
        self.text
    }
}

impl TokenSink for TextSink<'_> {
    fn push_token(&mut self, _index: u32, text: &str) -> io::Result<()> {
        self.text.push_str(text);
        if self.is_abandoned() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn is_abandoned(&self) -> bool {
        self.reply.is_abandoned()
    }
}
