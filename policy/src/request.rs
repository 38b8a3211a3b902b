use ragwortgrade_schema::Name;

use crate::Instant;

/// A request to route.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity within this daemon.
    pub id: u64,
    /// Declared service, or the name of the model for a model request without a service.
    pub service: Name,
    /// Workspace that the request belongs to.
    pub workspace: Name,
    /// Requested model; `None` for a call of a plain service.
    pub model: Option<Name>,
    /// Declared priority; the higher number goes first.
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hash of the cacheable prefix, salted with the workspace.
    pub prefix: Option<u64>,
    /// Length of that prefix in tokens.
    pub prefix_tokens: u32,
    /// Maximum number of output tokens, if given by the caller.
    pub max_output_tokens: Option<u32>,
    /// Time at which the request reached the daemon.
    pub arrived: Instant,
    /// Time at which the first token (model) or the whole answer (plain) is due.
    pub deadline: Instant,
    /// Endpoints to exclude, such as one at which the request just failed.
    pub avoid: Vec<Name>,
}
