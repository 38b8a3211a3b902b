use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use ragwortgrade_policy::gateway::Work;
use ragwortgrade_schema::Name;
use tokio::sync::mpsc::{self, Sender};

use super::answer::{Answer, Piece};
use super::exchange::Exchange;
use super::request::Inquiry;
use super::running::{Sequence, millis};
use super::shared::Shared;

/// Pieces that wait for a slow caller; then the engine's connection is no longer read.
const PIECES_MAX: usize = 16;

/// A run whose first bytes have arrived.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) exchange: Exchange,
    pub(super) first: Option<Bytes>,
    pub(super) sequence: Sequence,
    pub(super) engine: Name,
    /// Tokens of one event.
    pub(super) event_tokens: u32,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Broken,
    CallerLeft,
    TimeLimit,
}

/// Forwards a run's events to the caller as they arrive.
pub(super) fn forward(inquiry: &Inquiry, run: Run) -> Response<Answer> {
    let (sender, receiver) = mpsc::channel(PIECES_MAX);
    let mut response = Response::new(Answer::stream(receiver));
    *response.status_mut() = run.exchange.head.status;
    let dialect = &inquiry.shared.options.dialect;
    *response.headers_mut() = dialect.passed_on(&run.exchange.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let pump = Pump {
        shared: Rc::clone(&inquiry.shared),
        id: inquiry.id().into(),
        route: inquiry.route.name.clone(),
        first_ms: millis(inquiry.elapsed()),
        left: inquiry.left(),
        event_tokens: run.event_tokens,
        begun: Instant::now(),
        output_max: inquiry.arrival.prompt.output_tokens_max,
        output_hint: inquiry.arrival.prompt.output_tokens_hint,
    };
    tokio::task::spawn_local(pump.run(run, sender));
    response
}

#[derive(Debug)]
struct Pump {
    shared: Rc<Shared>,
    id: Name,
    route: Name,
    first_ms: f64,
    left: Duration,
    event_tokens: u32,
    /// When the first event arrived.
    begun: Instant,
    output_max: u32,
    output_hint: Option<u32>,
}

impl Pump {
    async fn run(self, mut run: Run, sender: Sender<Piece>) {
        let mut sent_bytes = 0;
        let mut events = 0;
        let first = run.first.take();
        let work = relay(&mut run.exchange, first, &sender, |bytes| {
            sent_bytes += bytes.len();
            events += count_events(bytes);
        });
        let end = tokio::time::timeout(self.left, work)
            .await
            .unwrap_or(End::TimeLimit);
        log::info!(
            request:% = self.id, route:% = self.route, engine:% = run.engine, end:? = end,
            first_ms = self.first_ms as u64, total_ms = self.begun.elapsed().as_millis() as u64,
            bytes = sent_bytes, output_max = self.output_max, output_hint:? = self.output_hint;
            "stream ended"
        );
        self.shared
            .metrics
            .time("stream.first_event_ms", self.first_ms as u64);
        match end {
            End::Complete => {
                let tokens = events.saturating_sub(1) * self.event_tokens;
                let millis = millis(self.begun.elapsed());
                self.shared.engines.borrow_mut().observe_output(
                    &run.engine,
                    tokens,
                    millis,
                    self.shared.now(),
                );
                run.sequence.end(Work::Done { millis: 0.0 });
                run.exchange.release(&self.shared.client);
                self.shared.metrics.count("streams.complete", 1);
                drop(sender.send(Piece::End).await);
            }
            End::Broken => {
                run.sequence.end(Work::Failed);
                self.shared.metrics.count("streams.broken", 1);
            }
            End::CallerLeft => self.shared.metrics.count("streams.left", 1),
            End::TimeLimit => self.shared.metrics.count("streams.time_limit", 1),
        }
    }
}

/// Counts the events that end in a piece of a stream.
fn count_events(bytes: &[u8]) -> u32 {
    bytes.windows(2).filter(|pair| pair == b"\n\n").count() as u32
}

async fn relay(
    exchange: &mut Exchange,
    first: Option<Bytes>,
    sender: &Sender<Piece>,
    mut sent: impl FnMut(&[u8]),
) -> End {
    let mut next = first;
    loop {
        let Some(bytes) = next else {
            return End::Complete;
        };
        sent(&bytes);
        if sender.send(Piece::Data(bytes)).await.is_err() {
            return End::CallerLeft;
        }
        next = tokio::select! {
            piece = exchange.next() => match piece {
                Some(Ok(bytes)) => Some(bytes),
                Some(Err(_lost)) => return End::Broken,
                None => None,
            },
            () = sender.closed() => return End::CallerLeft,
        };
    }
}
