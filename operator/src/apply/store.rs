use crate::StoreError;

/// Access to the key under which the platform stores the configuration.
pub trait Store {
    /// Reads the document; returns `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or rejects the call.
    fn read(&self) -> Result<Option<StoredDocument>, StoreError>;

    /// Replaces the document if the key has revision `expect`; 0 requires that the key does not
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the revision differs; after [`StoreError::AnswerLost`]
    /// the write may have taken effect.
    fn write(&self, text: &str, expect: u64) -> Result<(), StoreError>;
}

/// The document with its revision in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredDocument {
    /// Rendered configuration.
    pub text: String,
    /// The platform's revision of the key, which is not the document's revision.
    pub revision: u64,
}
