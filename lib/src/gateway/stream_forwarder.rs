use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use ragwortgrade_policy::gateway::{Endpoint, Fingerprint, Holding};
use ragwortgrade_schema::Name;
use tokio::sync::mpsc::{self, Sender};

use super::crash_detector::CrashDetector;
use super::event_counter::EventCounter;
use super::exchange::{Exchange, HELD_BACK_TIME};
use super::held_bytes::HeldQueue;
use super::request_context::RequestContext;
use super::response_body::{Chunk, ResponseBody};
use super::shared::Shared;
use super::stream_pauses::StreamPauses;
use super::stream_times::StreamTimes;
use super::stream_work::StreamWork;
use super::work_guard::millis;

/// Chunks buffered for a slow caller; with a full buffer the endpoint's connection is not read.
const BUFFERED_CHUNKS_MAX: usize = 16;

/// Events from which on a run counts as begun. An endpoint that crashes as it begins an output may
/// still send the first one.
const BEGUN_EVENTS: u32 = 2;

/// A run whose response has started.
#[derive(Debug)]
pub(super) struct StartedRun {
    pub(super) exchange: Exchange,
    /// First bytes of the body; `None` if it is empty.
    pub(super) first_bytes: Option<Bytes>,
    pub(super) endpoint: Endpoint,
    pub(super) work: StreamWork,
    pub(super) times: StreamTimes,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Broken,
    /// The endpoint ended the stream after it had to wait for a caller that did not read.
    Unread,
    /// The endpoint sent bytes that are not a stream of events.
    Malformed,
    CallerLeft,
    TimeLimit,
}

/// Forwards a run's events to the caller as they arrive.
pub(super) fn forward(context: &RequestContext, run: StartedRun) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS_MAX);
    let mut response = Response::new(ResponseBody::stream(receiver));
    *response.status_mut() = run.exchange.head.status;
    let dialect = &context.shared.options.dialect;
    *response.headers_mut() = dialect.response_headers(&run.exchange.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let forwarder = StreamForwarder {
        shared: Rc::clone(&context.shared),
        request_id: context.id().into(),
        route: context.route.name.clone(),
        first_ms: millis(context.elapsed()),
        target: context.route.target,
        pause_target: context.route.pause_target,
        time_left: context.time_left(),
        started_at: Instant::now(),
        // Only the events of generations have tokens.
        output_max: if run.work.is_generation() {
            context.metadata.prompt.output_tokens_max
        } else {
            0
        },
        output_hint: context.metadata.prompt.output_tokens_hint,
        fingerprint: context.fingerprint.clone(),
    };
    let memory = context.memory.open_other();
    memory.set_holding(Holding::Unread);
    let queue = HeldQueue::new(memory);
    tokio::task::spawn_local(forwarder.run(run, sender, queue));
    response
}

#[derive(Debug)]
struct StreamForwarder {
    shared: Rc<Shared>,
    request_id: Name,
    route: Name,
    /// Time from the arrival of the request to the first event.
    first_ms: f64,
    /// Time within which the first event has its full value.
    target: Duration,
    /// Longest pause with which the stream meets its target.
    pause_target: Option<Duration>,
    time_left: Duration,
    /// When the first event arrived.
    started_at: Instant,
    output_max: u32,
    output_hint: Option<u32>,
    fingerprint: Fingerprint,
}

impl StreamForwarder {
    async fn run(self, mut run: StartedRun, sender: Sender<Chunk>, queue: HeldQueue) {
        let mut sent_bytes = 0;
        let mut events = EventCounter::new(self.output_max);
        let mut pauses = StreamPauses::new(self.pause_target, self.started_at);
        let first = run.first_bytes.take();
        let forwarding = forward_chunks(&mut run.exchange, first, &sender, &queue, |bytes| {
            sent_bytes += bytes.len();
            let events_before = events.events();
            let is_valid = events.count(bytes);
            pauses.record(events.events(), Instant::now());
            if events_before < BEGUN_EVENTS && events.events() >= BEGUN_EVENTS {
                self.record_begin();
            }
            is_valid
        });
        let end = tokio::time::timeout(self.time_left, forwarding)
            .await
            .unwrap_or(StreamEnd::TimeLimit);
        let end = match end {
            StreamEnd::Complete if events.is_inside_event() => StreamEnd::Broken,
            end => end,
        };
        self.report(&run, end, &events, &pauses, sent_bytes);
        match end {
            StreamEnd::Complete => {
                if events.events() < BEGUN_EVENTS {
                    self.record_begin();
                }
                self.observe_output(&run, &events);
                run.work.complete();
                run.exchange.return_connection(&self.shared.client);
                self.shared.metrics.count("streams.complete", 1);
                drop(sender.send(Chunk::End).await);
            }
            StreamEnd::Broken | StreamEnd::Malformed => {
                if end == StreamEnd::Broken && events.events() < BEGUN_EVENTS {
                    CrashDetector::run_lost(&self.shared, &run.endpoint, &self.fingerprint);
                }
                run.work.fail();
                self.shared.metrics.count("streams.broken", 1);
            }
            StreamEnd::Unread => self.shared.metrics.count("streams.unread", 1),
            StreamEnd::CallerLeft => self.shared.metrics.count("streams.left", 1),
            StreamEnd::TimeLimit => self.shared.metrics.count("streams.time_limit", 1),
        }
    }

    /// Records the length and the speed of a complete output of an engine.
    fn observe_output(&self, run: &StartedRun, events: &EventCounter) {
        let Some(event_tokens) = run.work.event_tokens() else {
            return;
        };
        // The time below starts with the first event, so its tokens do not count.
        let tokens = events.events().saturating_sub(1) * event_tokens;
        let elapsed_ms = millis(self.started_at.elapsed());
        let mut engines = self.shared.engines.borrow_mut();
        engines.observe_output(&run.endpoint.id, tokens, elapsed_ms, self.shared.now());
        let output_tokens = events.events().saturating_mul(event_tokens);
        engines.observe_output_length(&self.route, self.output_hint, output_tokens);
    }

    /// Reports how the stream ended, whether it missed its target and where its time went.
    fn report(
        &self,
        run: &StartedRun,
        end: StreamEnd,
        events: &EventCounter,
        pauses: &StreamPauses,
        sent_bytes: usize,
    ) {
        let late = pauses.lateness(self.first_ms > millis(self.target));
        let times = &run.times;
        let id: &str = &run.endpoint.id;
        let (engine, endpoint) = if run.work.is_generation() {
            (Some(id), None)
        } else {
            (None, Some(id))
        };
        log::info!(
            request:% = self.request_id, route:% = self.route, engine, endpoint, end:? = end,
            first_ms = self.first_ms as u64,
            total_ms = self.started_at.elapsed().as_millis() as u64,
            bytes = sent_bytes, events = events.events(),
            output_max = self.output_max, output_hint:? = self.output_hint,
            late, target_ms = self.target.as_millis() as u64, pauses = pauses.over_target(),
            longest_pause_ms = pauses.longest().as_millis() as u64, priority = run.work.priority(),
            daemon_ms = times.daemon.as_millis() as u64, queue_ms = times.queue.as_millis() as u64,
            prefill_ms = times.prefill.as_millis() as u64, transfer_ms = times.transfer.as_millis() as u64,
            decode_ms = self.started_at.elapsed().as_millis() as u64;
            "stream ended"
        );
        let metrics = &self.shared.metrics;
        metrics.time("stream.first_event_ms", self.first_ms as u64);
        if late != "none" {
            metrics.count(&format!("streams.late_{late}"), 1);
        }
    }

    /// Records that the request does not crash endpoints.
    fn record_begin(&self) {
        self.shared.update_quarantine(|quarantine, now| {
            quarantine.record_begin(&self.fingerprint, now);
        });
    }
}

/// Forwards chunks until the stream ends. `on_chunk` returns whether the bytes so far can be a
/// stream of events.
async fn forward_chunks(
    exchange: &mut Exchange,
    first: Option<Bytes>,
    sender: &Sender<Chunk>,
    queue: &HeldQueue,
    mut on_chunk: impl FnMut(&[u8]) -> bool,
) -> StreamEnd {
    let mut next = first;
    let mut is_held_back = false;
    loop {
        let Some(bytes) = next else {
            return StreamEnd::Complete;
        };
        if !on_chunk(&bytes) {
            return StreamEnd::Malformed;
        }
        let started_at = Instant::now();
        let held = tokio::select! {
            held = queue.hold(&bytes) => held,
            () = sender.closed() => return StreamEnd::CallerLeft,
        };
        drop(bytes);
        if sender.send(Chunk::Data(held)).await.is_err() {
            return StreamEnd::CallerLeft;
        }
        is_held_back |= started_at.elapsed() >= HELD_BACK_TIME;
        next = tokio::select! {
            chunk = exchange.next_data() => match chunk {
                Some(Ok(bytes)) => Some(bytes),
                Some(Err(_lost)) if is_held_back => return StreamEnd::Unread,
                Some(Err(_lost)) => return StreamEnd::Broken,
                None => None,
            },
            () = sender.closed() => return StreamEnd::CallerLeft,
        };
    }
}
