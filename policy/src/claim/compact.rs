use std::collections::VecDeque;

use ragwortgrade_schema::platform;

use super::owner::Timestamp;
use super::{Call, CallResult, Chunk, Claim, Hash128, Head, Owner};

/// Number of sequences at which the log is compacted; a new owner has to read all of them.
pub(super) const SEQUENCES_MAX: u64 = 512;
/// Maximum size of a chunk's value; the service stores values of up to 1 MB.
const CHUNK_BYTES_MAX: usize = 900 * 1_024;
/// Size of a claim in a chunk without its response body, rounded up.
const CLAIM_BYTES: usize = 320;

/// A compaction, which moves the log's claims into snapshot chunks.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Compaction {
    /// Chunks that are not written yet.
    chunks: VecDeque<Chunk>,
    /// Chunks that are written, with their numbers.
    written: Vec<(u64, Chunk)>,
    /// Head to write after the chunks; its `next_chunk` is the number of the chunk to write next.
    head: Head,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    WriteChunk,
    /// Whether the chunk was written is unknown after a conflict or a lost answer.
    CheckChunk,
    WriteHead,
    /// Whether the head was written is unknown after a conflict or a lost answer.
    CheckHead,
}

/// A key to delete after a compaction.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Garbage {
    key: String,
    /// Revision that the deletion expects; `None` when the key must be read first to learn it.
    revision: Option<u64>,
}

impl Owner {
    /// Returns whether `head` is the one that this owner's compaction writes.
    pub(super) fn is_own_head(&self, head: Head) -> bool {
        let own = self.compaction.as_ref();
        own.is_some_and(|compaction| compaction.head == head && head != self.head)
    }

    /// Returns the next call of the compaction; starts one when the log is long enough or the
    /// response bodies exceed their memory limit.
    pub(super) fn compact_call(&mut self, now: Timestamp) -> Option<Call> {
        if self.compaction.is_none() {
            let sequences = self.next_sequence.saturating_sub(self.head.floor);
            if sequences < self.sequences_max && !(self.table.exceeds_body_limit() && sequences > 0)
            {
                return None;
            }
            self.compaction = Some(self.begin_compaction(now));
        }
        let compaction = self.compaction.as_ref()?;
        let chunk_key = || self.keys.chunk(compaction.head.next_chunk);
        Some(match compaction.state {
            State::WriteChunk => {
                let value = serde_json::to_string(compaction.chunks.front()?).ok()?;
                write(chunk_key(), value, 0)
            }
            State::CheckChunk => Call::Read(chunk_key()),
            State::WriteHead => {
                let value = serde_json::to_string(&compaction.head).ok()?;
                write(self.keys.head(), value, self.head_revision)
            }
            State::CheckHead => Call::Read(self.keys.head()),
        })
    }

    pub(super) fn handle_compaction(&mut self, result: CallResult, now: Timestamp) {
        let Some(mut compaction) = self.compaction.take() else {
            return;
        };
        match (compaction.state, result) {
            (State::WriteChunk, CallResult::Written(_)) => compaction.chunk_written(),
            (State::WriteChunk, CallResult::Conflict | CallResult::Lost) => {
                compaction.state = State::CheckChunk;
            }
            (State::CheckChunk, CallResult::Read(value)) => compaction.chunk_read(value),
            (State::WriteHead, CallResult::Written(revision)) => {
                return self.finish_compaction(&compaction, revision, now);
            }
            (State::WriteHead, CallResult::Conflict | CallResult::Lost) => {
                compaction.state = State::CheckHead;
            }
            (State::CheckHead, CallResult::Read(Some((value, revision)))) => {
                let head = serde_json::from_str::<Head>(&value).ok();
                if head == Some(compaction.head) {
                    return self.finish_compaction(&compaction, revision, now);
                }
                if revision != self.head_revision {
                    return self.head_moved(head);
                }
                compaction.state = State::WriteHead;
            }
            (State::CheckHead, CallResult::Read(None)) => {
                if self.head_revision != 0 {
                    return self.head_moved(None);
                }
                compaction.state = State::WriteHead;
            }
            _ => {}
        }
        self.compaction = Some(compaction);
    }

    pub(super) fn delete_call(&self) -> Option<Call> {
        let garbage = self.garbage.front()?;
        Some(match garbage.revision {
            Some(expect) => Call::Write(platform::Write {
                key: garbage.key.clone(),
                value: None,
                expect,
                lease: None,
            }),
            None => Call::Read(garbage.key.clone()),
        })
    }

    pub(super) fn handle_deletion(&mut self, result: &CallResult) {
        let Some(mut garbage) = self.garbage.pop_front() else {
            return;
        };
        match result {
            CallResult::Read(Some((_, revision))) => {
                garbage.revision = Some(*revision);
                self.garbage.push_front(garbage);
            }
            CallResult::NotDone | CallResult::Lost => {
                garbage.revision = None;
                self.garbage.push_back(garbage);
            }
            CallResult::Read(None)
            | CallResult::Listed(_)
            | CallResult::Written(_)
            | CallResult::Conflict => {}
        }
    }

    /// Reloads the shard after another owner compacted the log or the service lost the head.
    fn head_moved(&mut self, head: Option<Head>) {
        if head.unwrap_or_default().floor <= self.head.floor {
            self.queue_rewrites();
        }
        self.reload();
    }

    fn begin_compaction(&mut self, now: Timestamp) -> Compaction {
        let chunks = split_chunks(self.table.take_dirty());
        let next_chunk = self.head.next_chunk;
        let first_chunk = self.table.expire_chunks(next_chunk, now.unix_ms);
        let state = if chunks.is_empty() {
            State::WriteHead
        } else {
            State::WriteChunk
        };
        Compaction {
            chunks,
            written: Vec::new(),
            head: Head {
                floor: self.next_sequence,
                first_chunk,
                next_chunk,
            },
            state,
        }
    }

    /// Adopts the written head and chunks, evicts claims from memory, and queues the keys that are
    /// no longer in use for deletion.
    fn finish_compaction(&mut self, compaction: &Compaction, revision: u64, now: Timestamp) {
        let previous = std::mem::replace(&mut self.head, compaction.head);
        self.head_revision = revision;
        for (number, chunk) in &compaction.written {
            self.table.push_index(*number, chunk);
        }
        self.table.evict(now.unix_ms);
        let kept = self.revisions.split_off(&self.head.floor);
        let covered = std::mem::replace(&mut self.revisions, kept);
        for (sequence, revision) in &covered {
            self.garbage.push_back(Garbage {
                key: self.keys.sequence(*sequence),
                revision: Some(*revision),
            });
        }
        for number in previous.first_chunk..self.head.first_chunk {
            self.garbage.push_back(Garbage {
                key: self.keys.chunk(number),
                revision: None,
            });
        }
    }
}

fn write(key: String, value: String, expect: u64) -> Call {
    Call::Write(platform::Write {
        key,
        value: Some(value),
        expect,
        lease: None,
    })
}

impl Compaction {
    fn chunk_written(&mut self) {
        if let Some(chunk) = self.chunks.pop_front() {
            self.written.push((self.head.next_chunk, chunk));
            self.head.next_chunk += 1;
        }
        self.state = if self.chunks.is_empty() {
            State::WriteHead
        } else {
            State::WriteChunk
        };
    }

    /// Decides whether a chunk was written, after a conflict or a lost answer.
    ///
    /// A number that an unfinished compaction has used is skipped: its claims are older states of
    /// the same log.
    fn chunk_read(&mut self, value: Option<(String, u64)>) {
        self.state = State::WriteChunk;
        let Some((value, _)) = value else {
            return;
        };
        let held = serde_json::from_str::<Chunk>(&value).ok();
        if held.as_ref() == self.chunks.front() {
            self.chunk_written();
        } else {
            self.head.next_chunk += 1;
        }
    }
}

/// Splits claims into chunks of at most [`CHUNK_BYTES_MAX`]; a larger claim gets a chunk of its
/// own.
fn split_chunks(entries: Vec<(Hash128, Claim)>) -> VecDeque<Chunk> {
    let mut chunks = VecDeque::new();
    let mut chunk = Chunk {
        entries: Vec::new(),
    };
    let mut bytes = 0;
    for (key, claim) in entries {
        let size = CLAIM_BYTES + claim.body_bytes();
        if bytes + size > CHUNK_BYTES_MAX && !chunk.entries.is_empty() {
            chunks.push_back(std::mem::replace(
                &mut chunk,
                Chunk {
                    entries: Vec::new(),
                },
            ));
            bytes = 0;
        }
        bytes += size;
        chunk.entries.push((key, claim));
    }
    if !chunk.entries.is_empty() {
        chunks.push_back(chunk);
    }
    chunks
}
