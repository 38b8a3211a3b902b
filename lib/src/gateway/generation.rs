use http::Response;
use ragwortgrade_policy::gateway::{
    Endpoint, EngineLimits, Failure, Placement, Refusal, Stage, Work,
};
use ragwortgrade_schema::Name;

use super::answer::Answer;
use super::ending::{conclude, refuse};
use super::exchange::{Broken, Exchange};
use super::plain::{failure_of, pass_on};
use super::pump::{self, Run};
use super::request::Inquiry;
use super::running::{PromptRead, Sequence, millis};
use super::status::RETRY_AFTER_DEFAULT;
use super::{Purpose, Verdict};

/// Time of a prefill call beside the reading of the prompt, in ms: the fixed time of an engine's
/// first token and two crossings.
const CALL_OVERHEAD_MS: f64 = 65.0;

/// KV cache of a prompt that an engine keeps for another one.
#[derive(Debug)]
struct Cache {
    engine: Endpoint,
    handle: Name,
}

/// How an attempt to generate ended before anything reached the caller.
#[derive(Debug)]
enum Attempt {
    Answered(Run),
    Failed(Failure, Option<Response<Answer>>),
}

/// Answers a request for a generation.
pub(super) async fn answer(inquiry: &Inquiry, limits: &EngineLimits) -> Response<Answer> {
    let mut excluded: Vec<Name> = Vec::new();
    loop {
        let placement = match place(inquiry, limits, &excluded) {
            Ok(placement) => placement,
            Err(refusal) => return refuse_placement(inquiry, refusal),
        };
        let placed = inquiry.shared.now();
        let Some(engine) = endpoint(inquiry, &placement.run) else {
            excluded.push(placement.run);
            continue;
        };
        let purpose = match prefill(inquiry, &placement).await {
            Ok(Some(cache)) => Purpose::RunFrom {
                source: cache.engine.address,
                handle: cache.handle,
            },
            Ok(None) => Purpose::Run,
            Err(failure) => {
                excluded.extend(placement.prefill);
                if failure != Failure::NotSent {
                    inquiry.note_failed_read();
                    if !inquiry.take_retry() {
                        return refuse(inquiry, "prefill_failed", RETRY_AFTER_DEFAULT);
                    }
                }
                continue;
            }
        };
        excluded.push(engine.id.clone());
        let (failure, passed) = match run(inquiry, limits, &engine, &placement, purpose).await {
            Attempt::Answered(run) => {
                let shared = &inquiry.shared;
                let took_ms = millis(shared.now().since(placed));
                let mut engines = shared.engines.borrow_mut();
                engines.observe_first_event(&placement, took_ms);
                drop(engines);
                return pump::forward(inquiry, run);
            }
            Attempt::Failed(failure, passed) => (failure, passed),
        };
        if let Some(response) = conclude(inquiry, failure, passed) {
            return response;
        }
    }
}

fn place(
    inquiry: &Inquiry,
    limits: &EngineLimits,
    excluded: &[Name],
) -> Result<Placement, Refusal> {
    let shared = &inquiry.shared;
    let registry = shared.registry.borrow();
    let candidates: Vec<&Endpoint> = registry
        .usable()
        .filter(|it| it.service == inquiry.service)
        .filter(|it| it.stage != Some(Stage::Prefill) || inquiry.may_read_apart())
        .collect();
    let placement = shared.engines.borrow().place(
        &candidates,
        &inquiry.arrival.prompt,
        &inquiry.route,
        limits,
        inquiry.left(),
        excluded,
        &shared.options.data_centre,
        shared.now(),
    )?;
    log::info!(
        request = inquiry.id(), route:% = inquiry.route.name, engine:% = placement.run,
        prefill = placement.prefill.as_deref().unwrap_or("in_place"),
        prompt_tokens = inquiry.arrival.prompt.tokens, cached_tokens = placement.cached_tokens,
        expected_ms = placement.expected.as_millis() as u64,
        queue_ms = placement.queue.as_millis() as u64, priority = placement.priority,
        left_ms = inquiry.left().as_millis() as u64;
        "generation placed"
    );
    Ok(placement)
}

fn refuse_placement(inquiry: &Inquiry, refusal: Refusal) -> Response<Answer> {
    log::info!(
        request = inquiry.id(), route:% = inquiry.route.name, reason = refusal.reason,
        expected_ms:? = refusal.expected.map(|expected| expected.as_millis()),
        target_ms = inquiry.route.target.as_millis() as u64,
        prompt_tokens = inquiry.arrival.prompt.tokens, engines = candidates(inquiry),
        retry_after_ms = refusal.retry_after.as_millis() as u64;
        "generation refused"
    );
    inquiry.shared.metrics.count("generations.refused", 1);
    refuse(inquiry, refusal.reason, refusal.retry_after)
}

/// Returns the number of engines that could be chosen.
fn candidates(inquiry: &Inquiry) -> usize {
    let registry = inquiry.shared.registry.borrow();
    let usable = registry.usable();
    usable.filter(|it| it.service == inquiry.service).count()
}

fn endpoint(inquiry: &Inquiry, id: &Name) -> Option<Endpoint> {
    inquiry.shared.registry.borrow().get(id).cloned()
}

/// Has the prompt read apart, if the placement says so.
async fn prefill(inquiry: &Inquiry, placement: &Placement) -> Result<Option<Cache>, Failure> {
    let Some(id) = &placement.prefill else {
        return Ok(None);
    };
    let Some(engine) = endpoint(inquiry, id) else {
        return Err(Failure::NotSent);
    };
    let prompt = &inquiry.arrival.prompt;
    let read = PromptRead::begin(
        &inquiry.shared,
        id,
        placement.priority,
        placement.prefill_ms,
        CALL_OVERHEAD_MS,
        prompt,
    );
    let reading = read_prompt(inquiry, &engine, placement.priority);
    let result = tokio::time::timeout(placement.prefill_patience(), reading).await;
    let result = result.unwrap_or(Err(Failure::Unknown));
    match result {
        Ok(handle) => {
            let took_ms = read.done();
            log::debug!(
                request = inquiry.id(), engine:% = id, took_ms, planned_ms = placement.prefill_ms;
                "prompt read"
            );
            Ok(Some(Cache { engine, handle }))
        }
        Err(failure) => {
            log::info!(request = inquiry.id(), engine:% = id, reason:? = failure; "prefill failed");
            read.end(work_of(failure));
            Err(failure)
        }
    }
}

async fn read_prompt(inquiry: &Inquiry, engine: &Endpoint, priority: u8) -> Result<Name, Failure> {
    let broken = |broken: Broken| failure_of(&broken);
    let exchange = inquiry
        .exchange(engine, Some(priority), Purpose::Prefill)
        .await
        .map_err(broken)?;
    let (head, reply, body) = exchange
        .finish(&inquiry.shared.client)
        .await
        .map_err(broken)?;
    match reply.verdict {
        Verdict::WrongEndpoint => return Err(Failure::WrongEndpoint),
        Verdict::NotRun => return Err(Failure::NotRun),
        Verdict::Taken if !head.status.is_success() => return Err(Failure::Failed),
        Verdict::Taken => {}
    }
    let dialect = &inquiry.shared.options.dialect;
    dialect.prefill_handle(&body).ok_or(Failure::Failed)
}

/// Runs the request at an engine up to the first bytes of its answer.
async fn run(
    inquiry: &Inquiry,
    limits: &EngineLimits,
    engine: &Endpoint,
    placement: &Placement,
    purpose: Purpose,
) -> Attempt {
    let shared = &inquiry.shared;
    let prompt = &inquiry.arrival.prompt;
    let overhead_ms = millis(shared.options.speed.first_event);
    let is_in_place = purpose == Purpose::Run;
    let sequence = Sequence::begin(shared, &engine.id, prompt);
    let read = is_in_place.then(|| {
        PromptRead::begin(
            shared,
            &engine.id,
            placement.priority,
            placement.prefill_ms,
            overhead_ms,
            prompt,
        )
    });
    let had_run = inquiry.may_have_run();
    inquiry.note_sent();
    let result = first_bytes(inquiry, engine, placement.priority, purpose).await;
    let failure = match result {
        Ok((exchange, first)) => match judge(&exchange) {
            None => {
                let first_ms = read.map(PromptRead::done);
                log::debug!(
                    request = inquiry.id(), engine:% = engine.id, first_ms:? = first_ms,
                    planned_ms = placement.prefill_ms;
                    "first event"
                );
                let run = Run {
                    exchange,
                    first,
                    sequence,
                    engine: engine.id.clone(),
                    event_tokens: limits.event_tokens,
                };
                return Attempt::Answered(run);
            }
            Some(failure) => {
                let passed = whole(inquiry, exchange, first).await;
                note_failure(inquiry, failure, had_run);
                if let Some(read) = read {
                    read.end(work_of(failure));
                }
                sequence.end(work_of(failure));
                return Attempt::Failed(failure, passed);
            }
        },
        Err(broken) => {
            log::info!(request = inquiry.id(), engine:% = engine.id, error:% = broken; "run broke");
            failure_of(&broken)
        }
    };
    note_failure(inquiry, failure, had_run);
    if let Some(read) = read {
        read.end(work_of(failure));
    }
    sequence.end(work_of(failure));
    Attempt::Failed(failure, None)
}

/// Sends the request and waits for the first bytes of the body, so that a run that breaks before
/// them can still be answered otherwise.
async fn first_bytes(
    inquiry: &Inquiry,
    engine: &Endpoint,
    priority: u8,
    purpose: Purpose,
) -> Result<(Exchange, Option<bytes::Bytes>), Broken> {
    let mut exchange = inquiry.exchange(engine, Some(priority), purpose).await?;
    let first = exchange.next().await.transpose()?;
    Ok((exchange, first))
}

fn judge(exchange: &Exchange) -> Option<Failure> {
    let reply = &exchange.reply;
    let is_success = exchange.head.status.is_success();
    match reply.verdict {
        Verdict::WrongEndpoint => Some(Failure::WrongEndpoint),
        Verdict::NotRun => Some(Failure::NotRun),
        Verdict::Taken if !is_success => Some(Failure::Failed),
        Verdict::Taken if !reply.is_signed => Some(Failure::Unknown),
        Verdict::Taken => None,
    }
}

/// Reads the rest of an engine's own failure, to be passed on as it is.
async fn whole(
    inquiry: &Inquiry,
    exchange: Exchange,
    first: Option<bytes::Bytes>,
) -> Option<Response<Answer>> {
    let client = &inquiry.shared.client;
    let (head, _, rest) = exchange.finish(client).await.ok()?;
    let mut body = first.unwrap_or_default().to_vec();
    body.extend_from_slice(&rest);
    Some(pass_on(inquiry, &head, body.into()))
}

fn note_failure(inquiry: &Inquiry, failure: Failure, had_run: bool) {
    match failure {
        Failure::NotSent => inquiry.note_not_sent(had_run),
        Failure::NotRun | Failure::WrongEndpoint => inquiry.note_not_run(had_run),
        Failure::Unknown | Failure::Failed => {}
    }
}

const fn work_of(failure: Failure) -> Work {
    match failure {
        Failure::NotSent | Failure::WrongEndpoint => Work::Unreachable,
        Failure::NotRun => Work::Rejected,
        Failure::Unknown | Failure::Failed => Work::Failed,
    }
}
