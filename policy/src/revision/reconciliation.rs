use super::Document;

/// What a reader does about the platform's document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reconciliation {
    /// Nothing to do: the platform has the same document, there is no document on either side, or a
    /// peer writes back one of two conflicting documents.
    Same,
    /// The platform's document is newer; accept it when its declarations are valid.
    Newer,
    /// The platform's document is older, missing, or conflicts with an accepted one; replace it by
    /// this document.
    WriteBack(Document),
}
