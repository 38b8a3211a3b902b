use ragwortgrade_schema::Name;
use ragwortgrade_schema::engine::{Completion, Message};

use crate::answer_token;

/// Request for a chat completion.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Value of `X-Workspace`.
    pub workspace: String,
    /// Value of `X-Service`.
    pub service: Option<String>,
    /// Body of the request.
    pub completion: Completion,
}

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// Value of `X-Workspace`.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// Path within the service, with its leading `/`.
    pub path: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Body of the request.
    pub body: String,
}

impl ChatRequest {
    /// Creates a streamed request with one user message and a limit of `tokens` tokens.
    #[must_use]
    pub fn streamed(workspace: &str, content: &str, tokens: u32) -> Self {
        let message = Message {
            content: content.to_owned(),
            role: "user".to_owned(),
        };
        Self {
            workspace: workspace.to_owned(),
            service: None,
            completion: Completion {
                deadline_ms: None,
                max_tokens: Some(tokens),
                messages: vec![message],
                model: Name::from("base"),
                priority: None,
                stream: true,
            },
        }
    }

    /// Requests a single response instead of a stream.
    #[must_use]
    pub fn buffered(mut self) -> Self {
        self.completion.stream = false;
        self
    }

    /// Sets the service.
    #[must_use]
    pub fn service(mut self, service: &str) -> Self {
        self.service = Some(service.to_owned());
        self
    }

    /// Returns the tokens of the correct answer, which every engine stand-in generates.
    #[must_use]
    pub fn expected(&self) -> Vec<String> {
        let tokens = self.completion.max_tokens.unwrap_or(0);
        (0..tokens)
            .map(|index| answer_token(&self.completion, index))
            .collect()
    }
}
