use bytes::Bytes;
use http::{Response, response};
use ragwortgrade_policy::gateway::{Endpoint, Failure, Work};
use ragwortgrade_schema::Name;

use super::answer::Answer;
use super::ending::{conclude, refuse};
use super::exchange::Broken;
use super::request::Inquiry;
use super::running::PlainCall;
use super::status::RETRY_AFTER_DEFAULT;
use super::{Purpose, Reply, Verdict};

/// Answers a request to a plain service.
pub(super) async fn answer(inquiry: &Inquiry) -> Response<Answer> {
    let mut tried: Vec<Name> = Vec::new();
    loop {
        let Some(endpoint) = choose(inquiry, &tried) else {
            return refuse(inquiry, "no_endpoint", RETRY_AFTER_DEFAULT);
        };
        log::info!(
            request = inquiry.id(), route:% = inquiry.route.name, endpoint:% = endpoint.id,
            attempt = tried.len() + 1, left_ms = inquiry.left().as_millis() as u64;
            "call placed"
        );
        tried.push(endpoint.id.clone());
        let had_run = inquiry.may_have_run();
        let call = PlainCall::begin(&inquiry.shared, &endpoint.id);
        inquiry.note_sent();
        let result = attempt(inquiry, &endpoint).await;
        let (failure, passed) = match result {
            Ok((head, reply, body)) => match judge(&head, &reply) {
                None => {
                    call.done();
                    return pass_on(inquiry, &head, body);
                }
                Some(failure) => (failure, Some((head, body))),
            },
            Err(broken) => {
                log::info!(
                    request = inquiry.id(), endpoint:% = endpoint.id, error:% = broken;
                    "call broke"
                );
                (failure_of(&broken), None)
            }
        };
        note_failure(inquiry, call, failure, had_run);
        let passed = passed.map(|(head, body)| pass_on(inquiry, &head, body));
        if let Some(response) = conclude(inquiry, failure, passed) {
            return response;
        }
    }
}

fn choose(inquiry: &Inquiry, tried: &[Name]) -> Option<Endpoint> {
    let shared = &inquiry.shared;
    let registry = shared.registry.borrow();
    let usable = registry.usable().filter(|it| it.service == inquiry.service);
    let plains = shared.plains.borrow();
    let chosen = plains.choose(usable, tried, &shared.options.data_centre, shared.now());
    chosen.cloned()
}

async fn attempt(
    inquiry: &Inquiry,
    endpoint: &Endpoint,
) -> Result<(response::Parts, Reply, Bytes), Broken> {
    let exchange = inquiry.exchange(endpoint, None, Purpose::Run).await?;
    exchange.finish(&inquiry.shared.client).await
}

/// Returns what is wrong with an answer, if it is not simply passed on.
fn judge(head: &response::Parts, reply: &Reply) -> Option<Failure> {
    match reply.verdict {
        Verdict::WrongEndpoint => Some(Failure::WrongEndpoint),
        Verdict::NotRun => Some(Failure::NotRun),
        Verdict::Taken if head.status.is_server_error() => Some(Failure::Failed),
        Verdict::Taken if head.status.is_success() && !reply.is_signed => Some(Failure::Unknown),
        Verdict::Taken => None,
    }
}

pub(super) const fn failure_of(broken: &Broken) -> Failure {
    if broken.is_not_sent() {
        Failure::NotSent
    } else {
        Failure::Unknown
    }
}

fn note_failure(inquiry: &Inquiry, call: PlainCall, failure: Failure, had_run: bool) {
    match failure {
        Failure::NotSent => {
            inquiry.note_not_sent(had_run);
            call.end(Work::Unreachable);
        }
        Failure::NotRun => {
            inquiry.note_not_run(had_run);
            call.end(Work::Rejected);
        }
        Failure::WrongEndpoint => {
            inquiry.note_not_run(had_run);
            call.end(Work::Unreachable);
        }
        Failure::Unknown | Failure::Failed => call.end(Work::Failed),
    }
}

/// Passes an endpoint's whole answer on unchanged.
pub(super) fn pass_on(inquiry: &Inquiry, head: &response::Parts, body: Bytes) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = inquiry.shared.options.dialect.passed_on(&head.headers);
    response
}
