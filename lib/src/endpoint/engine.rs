use std::fmt::Debug;

use ragwortgrade_schema::engine::{
    CacheEvents, Completion, KvExport, KvHandle, KvImport, Load, Order, OrderAnswer, Token,
};

use super::Error;

/// One attempt of a completion at an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity of the attempt; the response must contain it.
    pub attempt: String,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Hash of the prompt prefix that may be cached.
    pub prefix: Option<u64>,
    /// Index of the first token to produce.
    pub resume_from: u32,
    /// Prompt and parameters.
    pub completion: Completion,
}

/// The tokens of a streamed response. The stream ends with `None` only after the engine has marked
/// it as complete.
pub trait TokenStream: Send {
    /// Waits for the next token.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks, or when a token has an unexpected attempt or index.
    fn next_token(&mut self) -> Result<Option<Token>, Error>;
}

/// Client of model engines; `address` is an engine's `ip:port`.
pub trait Engine: Debug + Send + Sync {
    /// Starts a completion.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses; [`Error::execution`] says whether the
    /// completion may have run.
    fn complete(&self, address: &str, call: &Call) -> Result<Box<dyn TokenStream>, Error>;

    /// Stops an attempt whose result is no longer needed.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached.
    fn cancel(&self, address: &str, attempt: &str) -> Result<(), Error>;

    /// Reads the engine's load report, which may lag behind its state.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached.
    fn load(&self, address: &str) -> Result<Load, Error>;

    /// Reads the engine's current state, before and after an order.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached.
    fn state(&self, address: &str) -> Result<Load, Error>;

    /// Reads the cache events after sequence number `after`.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached.
    fn cache_events(&self, address: &str, after: u64) -> Result<CacheEvents, Error>;

    /// Sends an order; the whole call takes at most 2 s.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or the connection breaks; [`Error::execution`] says
    /// whether the order may have been accepted.
    fn order(&self, address: &str, order: &Order) -> Result<OrderAnswer, Error>;

    /// Computes a prompt's KV cache and holds it for another engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be reached or refuses.
    fn export(&self, address: &str, export: &KvExport) -> Result<KvHandle, Error>;

    /// Transfers KV cache from another engine.
    ///
    /// # Errors
    ///
    /// Fails when either engine cannot be reached or refuses.
    fn import(&self, address: &str, import: &KvImport) -> Result<(), Error>;
}
