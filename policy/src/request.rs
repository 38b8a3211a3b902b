use ragwortgrade_schema::Name;

use crate::Instant;

/// What the routing decision needs to know of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity within this daemon.
    pub id: u64,
    /// Declared service; for a model request without one, the name of the model.
    pub service: Name,
    /// Workspace on whose behalf the request runs.
    pub workspace: Name,
    /// Model of a model request; `None` for a call of a plain service.
    pub model: Option<Name>,
    /// Higher goes first.
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hash of the prefix that may be cached, salted with the workspace.
    pub prefix: Option<u64>,
    /// Length of that prefix in tokens.
    pub prefix_tokens: u32,
    /// Upper bound of output tokens that the caller gave.
    pub max_output_tokens: Option<u32>,
    /// When the request reached the daemon.
    pub arrived: Instant,
    /// When the first token (model) or the whole answer (plain) is due.
    pub deadline: Instant,
    /// Endpoints that this request must not go to, such as one that just failed it.
    pub avoid: Vec<Name>,
}
