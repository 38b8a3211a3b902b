use ragwortgrade_schema::platform;

use super::owner::Timestamp;
use super::table::Table;
use super::{Call, CallResult, Chunk, Head, Owner};
use crate::Instant;

/// Number of retries for a missing chunk before it counts as lost by the service.
const CHUNK_READ_RETRIES: u32 = 3;

/// State of loading a shard from the service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Loading {
    table: Table,
    head: Head,
    head_revision: u64,
    state: State,
    /// Number of reads of the current chunk that did not find it.
    missing_reads: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The chunk with this number is read next.
    Chunk(u64),
    /// The page of the log after this key is read next.
    Log(String),
}

impl Owner {
    pub(super) fn load_call(&self) -> Call {
        let Some(load) = &self.load else {
            return Call::Read(self.keys.head());
        };
        match &load.state {
            State::Chunk(number) => Call::Read(self.keys.chunk(*number)),
            State::Log(after) => Call::List {
                prefix: self.keys.log_prefix(),
                after: after.clone(),
            },
        }
    }

    pub(super) fn handle_load(&mut self, result: CallResult, now: Timestamp) {
        match (self.load.take(), result) {
            (None, CallResult::Read(value)) => self.begin_load(value),
            (Some(load), CallResult::Read(value)) => self.load_chunk(load, value, now),
            (Some(load), CallResult::Listed(entries)) => self.load_log(load, &entries),
            (load, _) => self.load = load,
        }
    }

    fn begin_load(&mut self, value: Option<(String, u64)>) {
        let (head, head_revision) = match value {
            Some((value, revision)) => match serde_json::from_str(&value) {
                Ok(head) => (head, revision),
                Err(_malformed) => return,
            },
            None => (Head::default(), 0),
        };
        let load = Loading {
            table: Table::default(),
            head,
            head_revision,
            state: State::Chunk(head.first_chunk),
            missing_reads: 0,
        };
        self.load = Some(self.switch_to_log(load));
    }

    fn load_chunk(&mut self, mut load: Loading, value: Option<(String, u64)>, now: Timestamp) {
        let State::Chunk(number) = load.state else {
            return;
        };
        let chunk = value.and_then(|(value, _)| serde_json::from_str::<Chunk>(&value).ok());
        match chunk {
            Some(chunk) => load.table.add_chunk(number, &chunk, now.unix_ms),
            None if load.missing_reads < CHUNK_READ_RETRIES => {
                load.missing_reads += 1;
                self.load = Some(load);
                return;
            }
            // The service lost the chunk, so the claims that this owner still has are written
            // again. If instead another owner has advanced the head since it was read and deleted
            // the chunk, `load_log` restarts the loading.
            None => self.queue_rewrites(),
        }
        load.state = State::Chunk(number + 1);
        load.missing_reads = 0;
        self.load = Some(self.switch_to_log(load));
    }

    /// Continues with the log once all chunks are loaded.
    fn switch_to_log(&self, mut load: Loading) -> Loading {
        if let State::Chunk(number) = load.state
            && number >= load.head.next_chunk
        {
            load.state = State::Log(self.before_floor(load.head));
        }
        load
    }

    fn load_log(&mut self, mut load: Loading, entries: &[platform::Entry]) {
        let tail = self.parse_tail(entries);
        if let Some((head, revision)) = tail.head
            && (head, revision) != (load.head, load.head_revision)
        {
            // The log was compacted in the meantime, so loading restarts.
            return;
        }
        let begin = self.before_floor(load.head);
        if matches!(&load.state, State::Log(after) if *after == begin) {
            self.begin_log(&mut load);
        }
        for logged in &tail.batches {
            self.apply(logged);
        }
        match tail.batches.last() {
            // A page may end before the log does; the next page shows whether there is more.
            Some(logged) => {
                load.state = State::Log(self.keys.sequence(logged.sequence));
                self.load = Some(load);
            }
            // The head has disappeared since it was read, so loading restarts.
            None if tail.head.is_none() && load.head_revision != 0 => {}
            None => self.finish_load(),
        }
    }

    /// Returns the key after which the part of the log begins that the chunks do not cover.
    fn before_floor(&self, head: Head) -> String {
        self.keys.sequence(head.floor.saturating_sub(1))
    }

    fn finish_load(&mut self) {
        // Claims that the service lost are restored before any request is answered.
        for record in &self.rewrites {
            self.table.apply(record);
        }
        self.is_loaded = true;
        self.tail_checked_at = Instant::default();
    }

    /// Replaces the table by the loaded chunks, to which the log is then applied.
    fn begin_log(&mut self, load: &mut Loading) {
        self.table = std::mem::take(&mut load.table);
        self.head = load.head;
        self.head_revision = load.head_revision;
        self.next_sequence = load.head.floor;
        self.revisions.clear();
        self.last_batch = None;
    }
}
