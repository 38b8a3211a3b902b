use std::io;
use std::time::Duration;

use ragwortgrade_policy::Request;

use super::admission::{self, Admitted};
use super::{Code, Context, Incoming, Refusal, Reply};
use crate::attempt::random_identity;
use crate::endpoint::{PlainAnswer, PlainCall, Ran};

const BYTES: &str = "application/octet-stream";

/// Serves a call of a plain service.
pub(super) fn serve(context: &Context, incoming: &Incoming, reply: &mut Reply) -> io::Result<()> {
    match call(context, incoming) {
        Ok(answer) => {
            let content_type = answer.content_type.as_deref().unwrap_or(BYTES);
            reply.whole(answer.status, content_type, &answer.body)
        }
        Err(refusal) => reply.refuse(&refusal),
    }
}

fn call(context: &Context, incoming: &Incoming) -> Result<PlainAnswer, Refusal> {
    let (service, path) = split(&incoming.path)?;
    let admitted = admission::plain(context, incoming, service)?;
    let request = routed(context, admitted);
    let dispatch = context.place(&request)?;
    let answer = send(context, incoming, path, &request, &dispatch.endpoint);
    context.finished(request.id, 0);
    answer
}

fn send(
    context: &Context,
    incoming: &Incoming,
    path: &str,
    request: &Request,
    endpoint: &ragwortgrade_schema::Name,
) -> Result<PlainAnswer, Refusal> {
    let unavailable = |reason: String| Refusal::not_run(Code::NoEndpoint, reason);
    let Some(endpoint) = context.node.directory.get(endpoint) else {
        return Err(unavailable("the endpoint has left".to_owned()));
    };
    let call = PlainCall {
        attempt: random_identity().map_err(|error| unavailable(error.to_string()))?,
        method: incoming.method.clone(),
        path: path.to_owned(),
        content_type: incoming.header("Content-Type").map(ToOwned::to_owned),
        request_key: random_identity().map_err(|error| unavailable(error.to_string()))?,
        body: incoming.body.clone(),
        timeout: request.deadline.since(context.node.clock.now()),
    };
    let answer = context.node.plains.call(&endpoint.address, &call);
    answer.map_err(|error| match error.ran() {
        Ran::No => unavailable("the endpoint cannot be reached".to_owned()),
        Ran::Unknown => Refusal::may_have_run(Code::OutcomeUnknown, "the answer was lost"),
    })
}

/// Splits `/services/<service>/<path>` into the service and the path with its query.
fn split(path: &str) -> Result<(&str, &str), Refusal> {
    let malformed = || Refusal::not_run(Code::Malformed, "path names no service");
    let rest = path.strip_prefix("/services/").ok_or_else(malformed)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(malformed());
    }
    Ok((service, if path.is_empty() { "/" } else { path }))
}

fn routed(context: &Context, admitted: Admitted) -> Request {
    let arrived = context.node.clock.now();
    Request {
        id: context.next_request(),
        service: admitted.service,
        workspace: admitted.workspace,
        model: None,
        priority: admitted.priority,
        prompt_tokens: 0,
        prefix: None,
        prefix_tokens: 0,
        max_output_tokens: None,
        arrived,
        deadline: arrived + Duration::from_millis(admitted.deadline_ms),
        avoid: Vec::new(),
    }
}
