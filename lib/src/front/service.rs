use std::io;
use std::time::Duration;

use ragwortgrade_policy::Request;

use super::admission::{self, Admitted};
use super::digest::digest;
use super::{Code, Context, Incoming, Refusal, Reply};
use crate::attempt::{PlainRun, random_identity};
use crate::endpoint::{PlainAnswer, PlainCall};

const BYTES: &str = "application/octet-stream";

/// Serves a call of a plain service.
pub(super) fn serve(context: &Context, incoming: &Incoming, reply: &mut Reply) -> io::Result<()> {
    match call(context, incoming, &|| reply.is_abandoned()) {
        Ok(answer) => {
            let content_type = answer.content_type.as_deref().unwrap_or(BYTES);
            reply.whole(answer.status, content_type, &answer.body)
        }
        Err(refusal) => reply.refuse(&refusal),
    }
}

fn call(
    context: &Context,
    incoming: &Incoming,
    is_abandoned: &dyn Fn() -> bool,
) -> Result<PlainAnswer, Refusal> {
    let (service, path) = split(&incoming.path)?;
    let admitted = admission::plain(context, incoming, service)?;
    let identity =
        || random_identity().map_err(|error| Refusal::not_run(Code::NoEndpoint, error.to_string()));
    let subject = digest(&[
        admitted.workspace.as_bytes(),
        admitted.service.as_bytes(),
        incoming.method.as_bytes(),
        path.as_bytes(),
        &incoming.body,
    ]);
    let idempotent = admitted.idempotent;
    let mut run = PlainRun {
        context,
        routed: routed(context, admitted),
        subject,
        call: PlainCall {
            attempt: identity()?,
            method: incoming.method.clone(),
            path: path.to_owned(),
            content_type: incoming.header("Content-Type").map(ToOwned::to_owned),
            request_key: identity()?,
            body: incoming.body.clone(),
            timeout: Duration::ZERO,
        },
        idempotent,
    };
    run.run(is_abandoned)
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
    Ok((service, path))
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
