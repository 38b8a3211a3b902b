use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

use ragwortgrade_policy::claim::{Answer, Call, CallResult, Owner, Request, Timestamp};
use ragwortgrade_schema::Name;

use crate::Node;
use crate::platform::{Error, KeyValue};

/// Time for which a request waits for its answer; the state machine gives up earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Poll period while a request or a record to rewrite waits for the next write or the end of a
/// backoff.
const BUSY_PAUSE: Duration = Duration::from_millis(5);
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// One shard: the state machine of its owner, whose calls a thread makes in [`Self::run`].
#[derive(Debug)]
pub(super) struct Shard {
    node: Arc<Node>,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    owner: Owner,
    /// The daemon that should own the shard according to the membership.
    designated_owner: Option<Name>,
    next_request_id: u64,
    pending: HashMap<u64, mpsc::Sender<Answer>>,
}

impl Shard {
    pub(super) fn open(number: u8, node: Arc<Node>) -> Self {
        let owner = Owner::open(number, node.settings.daemon.id.clone(), node.incarnation);
        Self {
            state: Mutex::new(State {
                owner,
                designated_owner: None,
                next_request_id: 0,
                pending: HashMap::new(),
            }),
            node,
            changed: Condvar::new(),
        }
    }

    /// Sets the daemon that should own the shard, and the live daemons with their incarnations.
    pub(super) fn set_owner(&self, designated_owner: Option<Name>, live: HashSet<(Name, u64)>) {
        let now = self.node.clock.now();
        let is_owning = designated_owner.as_ref() == Some(&self.node.settings.daemon.id);
        let mut state = self.lock();
        if state.owner.is_owning() != is_owning {
            log::info!(owning = is_owning; "ownership of a claim shard changed");
        }
        let is_changed = state.owner.is_owning() != is_owning;
        state.owner.set_members(is_owning, live, now);
        state.designated_owner = designated_owner;
        drop(state);
        if is_changed {
            // A new owner reads the log at once, to know its keys if an outage follows.
            self.wake();
        }
    }

    /// Passes a request to the state machine and waits for the answer; fails with the designated
    /// owner when this daemon does not own the shard.
    pub(super) fn submit(&self, owner_request: Request) -> Result<Answer, Option<Name>> {
        let unavailable = owner_request.unavailable();
        let (sender, receiver) = mpsc::channel();
        let id = {
            let mut state = self.lock();
            if !state.owner.is_owning() {
                return Err(state.designated_owner.clone());
            }
            state.next_request_id += 1;
            let id = state.next_request_id;
            state.pending.insert(id, sender);
            state.owner.submit(id, owner_request, self.timestamp());
            state.deliver_answers();
            id
        };
        self.wake();
        let answer = receiver.recv_timeout(ANSWER_TIMEOUT);
        self.lock().pending.remove(&id);
        Ok(answer.unwrap_or(unavailable))
    }

    pub(super) fn wake(&self) {
        self.changed.notify_all();
    }

    /// Makes the state machine's calls until `stopped` is set.
    pub(super) fn run(&self, stopped: &AtomicBool) {
        let mut state = self.lock();
        while !stopped.load(Ordering::Acquire) {
            let at = self.timestamp();
            state.owner.expire(at);
            let call = state.owner.next_call(at);
            state.deliver_answers();
            if let Some(call) = call {
                drop(state);
                let result = perform(self.node.key_value.as_ref(), call);
                state = self.lock();
                state.owner.handle_result(result, self.timestamp());
                state.deliver_answers();
                continue;
            }
            let pause = if state.owner.is_busy() {
                BUSY_PAUSE
            } else {
                IDLE_PAUSE
            };
            state = self
                .changed
                .wait_timeout(state, pause)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp {
            monotonic: self.node.clock.now(),
            unix_ms: self.node.clock.unix_ms(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn deliver_answers(&mut self) {
        for (id, answer) in self.owner.take_answers() {
            if let Some(sender) = self.pending.remove(&id)
                && sender.send(answer).is_err()
            {
                log::debug!("answer to a claim came after its timeout");
            }
        }
    }
}

fn perform(key_value: &dyn KeyValue, call: Call) -> CallResult {
    let result = match call {
        Call::Read(key) => key_value.get(&key).map(|entry| {
            let value = entry.and_then(|entry| Some((entry.value?, entry.revision)));
            CallResult::Read(value)
        }),
        Call::List { prefix, after } => key_value.list(&prefix, &after).map(|mut listed| {
            listed
                .entries
                .sort_by(|left, right| left.key.cmp(&right.key));
            CallResult::Listed(listed.entries)
        }),
        Call::Write(write) => key_value.write(&write).map(CallResult::Written),
    };
    result.unwrap_or_else(|error| {
        log::debug!("call of the key-value service failed: {error}");
        classify_failure(&error)
    })
}

/// Distinguishes calls that certainly had no effect from those that may have had one.
fn classify_failure(error: &Error) -> CallResult {
    const SERVER_ERROR_MIN: u16 = 500;
    match error {
        Error::Conflict { .. } => CallResult::Conflict,
        Error::Refused { status } if *status >= SERVER_ERROR_MIN => CallResult::Lost,
        Error::Unreachable { .. }
        | Error::RateLimited
        | Error::LeaseEnded
        | Error::Refused { .. } => CallResult::NotDone,
        Error::AnswerLost { .. } | Error::Malformed { .. } => CallResult::Lost,
    }
}
