use std::cell::{Cell, RefCell};
use std::io;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::{Duration, Instant};

use ragwortgrade_policy::gateway::{ConnectionChoice, Limits};
use tokio::sync::Notify;

use super::Options;
use super::limit_log::LimitLog;
use super::memory::Memory;
use crate::Clock;
use crate::observe::Metrics;

/// Activity of one caller's connection, on which its timeouts are based.
#[derive(Debug)]
pub(super) struct CallerConnection {
    pub(super) client: IpAddr,
    opened_at: ragwortgrade_policy::Instant,
    has_sent_request: Cell<bool>,
    /// Since when the caller has read nothing of what is to be sent to it.
    unread_since: Cell<Option<Instant>>,
    requests_in_flight: Cell<u32>,
    /// When the first byte of a request head that is still incomplete arrived.
    head_started_at: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
    /// Notified to close the connection after the response in progress, if there is one.
    pub(super) close: Notify,
    /// Notified to close the connection at once.
    pub(super) abort: Notify,
}

/// The open connections of callers.
#[derive(Debug)]
pub(super) struct CallerConnections {
    open: RefCell<Vec<Weak<CallerConnection>>>,
    /// The memory that is held for requests and responses.
    pub(super) memory: Rc<Memory>,
    pub(super) limit_log: Rc<LimitLog>,
}

/// Guard that counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(Rc<CallerConnection>);

impl CallerConnection {
    pub(super) fn new(client: IpAddr, now: ragwortgrade_policy::Instant) -> Rc<Self> {
        Rc::new(Self {
            client,
            opened_at: now,
            has_sent_request: Cell::new(false),
            unread_since: Cell::new(None),
            requests_in_flight: Cell::new(0),
            head_started_at: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            close: Notify::new(),
            abort: Notify::new(),
        })
    }

    /// Records that the head of a request is complete and the request is in flight.
    pub(super) fn start_request(self: &Rc<Self>) -> RequestGuard {
        self.requests_in_flight
            .set(self.requests_in_flight.get() + 1);
        self.head_started_at.set(None);
        self.has_sent_request.set(true);
        RequestGuard(Rc::clone(self))
    }

    fn is_idle(&self) -> bool {
        self.requests_in_flight.get() == 0 && self.head_started_at.get().is_none()
    }

    /// Records whether the caller takes what is sent to it.
    pub(super) fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Pending if self.unread_since.get().is_none() => {
                self.unread_since.set(Some(Instant::now()));
            }
            Poll::Pending => {}
            Poll::Ready(_) => self.unread_since.set(None),
        }
    }

    /// Records that bytes arrived; on an idle connection they start the head of a request. Returns
    /// whether they do.
    pub(super) fn record_read(&self) -> bool {
        let starts_head = self.is_idle();
        if starts_head {
            self.head_started_at.set(Some(Instant::now()));
        }
        starts_head
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0
            .requests_in_flight
            .set(self.0.requests_in_flight.get().saturating_sub(1));
        self.0.idle_since.set(Instant::now());
    }
}

impl CallerConnections {
    pub(super) fn new(options: &Options, clock: Clock, metrics: &Metrics) -> Self {
        let limit_log = Rc::new(LimitLog::new(metrics.clone()));
        let bytes_max = options.caller_limits.memory.requests_bytes();
        Self {
            open: RefCell::default(),
            memory: Memory::new(bytes_max, clock, Rc::clone(&limit_log)),
            limit_log,
        }
    }

    pub(super) fn add(&self, caller: &Rc<CallerConnection>) {
        self.open.borrow_mut().push(Rc::downgrade(caller));
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        let mut open = self.open.borrow_mut();
        open.retain(|caller| caller.strong_count() > 0);
        open.len()
    }

    /// Returns the number of requests in flight.
    pub(super) fn requests_in_flight(&self) -> u32 {
        let open = self.open.borrow();
        let callers = open.iter().filter_map(Weak::upgrade);
        callers.map(|caller| caller.requests_in_flight.get()).sum()
    }

    /// Closes connections that exceed the idle timeout or the header timeout of `limits`, and those whose
    /// callers read nothing for `unread_timeout`; returns the clients of the latter.
    pub(super) fn close_overdue(&self, limits: &Limits, unread_timeout: Duration) -> Vec<IpAddr> {
        let now = Instant::now();
        let mut unread = Vec::new();
        for caller in self.open.borrow().iter().filter_map(Weak::upgrade) {
            let unread_since = caller.unread_since.get();
            if unread_since.is_some_and(|since| now.duration_since(since) > unread_timeout) {
                caller.abort.notify_one();
                unread.push(caller.client);
            } else if let Some(started_at) = caller.head_started_at.get() {
                if now.duration_since(started_at) > limits.header_timeout {
                    caller.abort.notify_one();
                }
            } else if caller.is_idle()
                && now.duration_since(caller.idle_since.get()) > limits.idle_timeout
            {
                caller.close.notify_one();
            }
        }
        unread
    }

    /// Closes a connection without a request in progress for a new one; returns its client, or `None` if
    /// there is none.
    pub(super) fn close_one(&self) -> Option<IpAddr> {
        let mut open = self.open.borrow_mut();
        let without_request: Vec<Rc<CallerConnection>> = open
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|caller| caller.requests_in_flight.get() == 0)
            .collect();
        let choices: Vec<ConnectionChoice> = without_request
            .iter()
            .map(|caller| ConnectionChoice {
                client: caller.client,
                has_sent_request: caller.has_sent_request.get(),
                opened_at: caller.opened_at,
            })
            .collect();
        let closed = &without_request[ConnectionChoice::choose(&choices)?];
        if closed.has_sent_request.get() {
            // The end of its last response may still be in the server's buffer.
            closed.close.notify_one();
        } else {
            closed.abort.notify_one();
        }
        // It no longer counts, so that it is not chosen again before its task has ended.
        open.retain(|caller| !std::ptr::eq(caller.as_ptr(), Rc::as_ptr(closed)));
        Some(closed.client)
    }

    /// Closes the connections that have been idle for at least `idle`.
    pub(super) fn close_idle(&self, idle: Duration) {
        for caller in self.open.borrow().iter().filter_map(Weak::upgrade) {
            if caller.is_idle() && caller.idle_since.get().elapsed() >= idle {
                caller.close.notify_one();
            }
        }
    }
}
