//! At-most-once claims: which attempt may send a request that must not run twice.
//!
//! Claims are sharded, and each shard is an append-only log in the key-value service. Each batch of
//! records in the log has a key of its own that ends with a consecutive number, its sequence. The
//! owner of the shard writes a sequence on the condition that its key does not exist. When two
//! daemons both believe that they own the shard, the second to write a sequence therefore fails and
//! reads what the first one wrote. A claim is granted only after its record was written and then
//! read back at the end of the log. Old sequences are compacted into snapshot chunks, and the head
//! of the shard records which sequences and chunks are in use.

mod call;
mod commit;
mod compact;
mod hash;
mod load;
mod owner;
mod record;
mod request;
mod shard;
mod table;
mod tail;

pub use call::{Call, CallResult};
pub use hash::Hash128;
pub use owner::{Owner, Timestamp};
pub use record::{Batch, Chunk, Head, Record};
pub use request::{Answer, Request};
pub use shard::{Keys, SHARDS, owner_of, shard_of};
pub use table::{Claim, Outcome};
