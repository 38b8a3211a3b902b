/// Error in a document or in a peer's answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The document has no `[configuration]` section with `revision` and `apply_id`.
    #[error("document has no section [configuration] with `revision` above 0 and `apply_id`")]
    NoHeader,
    /// A line stands before the first section.
    #[error("line {line} stands before the first section")]
    OutsideSection {
        /// Line number, starting at 1.
        line: usize,
    },
    /// A section occurs twice.
    #[error("section [{heading}] occurs twice")]
    Duplicate {
        /// Heading of the section.
        heading: String,
    },
    /// A peer's answer does not lead to the document that the peer has.
    #[error(
        "document built for revision {revision} differs from the peer's in revision or checksum"
    )]
    Checksum {
        /// Revision of the peer's document.
        revision: u64,
    },
}
