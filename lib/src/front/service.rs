use std::io;
use std::time::Duration;

use ragwortgrade_policy::Request;
use ragwortgrade_policy::claim::Hash128;

use super::admission::{self, AdmittedRequest};
use super::digest::digest;
use super::{Code, Context, IncomingRequest, Refusal, Reply};
use crate::attempt::{ServiceCall, random_identity};
use crate::claims::{ClaimDecision, Claimant};
use crate::endpoint::{Execution, PlainCall, PlainResponse};

const CONTENT_TYPE_DEFAULT: &str = "application/octet-stream";

/// Serves a call of a plain service.
pub(super) fn serve(
    context: &Context,
    incoming: &IncomingRequest,
    reply: &mut Reply,
) -> io::Result<()> {
    let mut service_call = match prepare(context, incoming) {
        Ok(service_call) => service_call,
        Err(refusal) => return reply.refuse(&refusal),
    };
    if service_call.idempotent {
        let result = service_call.run(&|| reply.is_abandoned());
        return respond(reply, &result);
    }
    match incoming.header("Idempotency-Key") {
        Some(key) => serve_claimed(&mut service_call, key, reply),
        // Without a key, nobody can query the outcome later: the call runs at most once, without a
        // record, and continues when the caller disconnects.
        None => respond(reply, &service_call.run(&|| false)),
    }
}

/// Serves a call that must not run twice: it is sent only after its claim was granted.
fn serve_claimed(
    service_call: &mut ServiceCall<'_>,
    key: &str,
    reply: &mut Reply,
) -> io::Result<()> {
    let request = &service_call.routing_request;
    let key = digest(&[
        request.workspace.as_bytes(),
        request.service.as_bytes(),
        key.as_bytes(),
    ]);
    let claimant = Claimant::new(
        service_call.context,
        key,
        service_call.content_digest,
        &service_call.call.attempt,
    );
    match claimant.claim() {
        Ok(ClaimDecision::Granted) => {}
        Ok(ClaimDecision::Done(response)) => return respond(reply, &Ok(response)),
        Err(refusal) => {
            let responded = reply.refuse(&refusal);
            if refusal.code == Code::ClaimsUnavailable {
                // The claim may have been recorded although the grant was lost.
                claimant.release();
            }
            return responded;
        }
    }
    // The endpoint gets the same key in every attempt from every daemon.
    service_call.call.request_key = Hash128(key).to_string();
    let result = service_call.run(&|| false);
    match &result {
        // Release first: the caller may retry with the same key as soon as it has the refusal.
        Err(refusal) if refusal.execution == Execution::NotRun => {
            claimant.release();
            respond(reply, &result)
        }
        Err(_) => {
            let responded = respond(reply, &result);
            claimant.record_unknown();
            responded
        }
        Ok(response) => {
            let responded = respond(reply, &result);
            claimant.record_response(response);
            responded
        }
    }
}

fn respond(reply: &mut Reply, result: &Result<PlainResponse, Refusal>) -> io::Result<()> {
    match result {
        Ok(response) => {
            let content_type = response
                .content_type
                .as_deref()
                .unwrap_or(CONTENT_TYPE_DEFAULT);
            reply.respond(response.status, content_type, &response.body)
        }
        Err(refusal) => reply.refuse(refusal),
    }
}

fn prepare<'a>(
    context: &'a Context,
    incoming: &IncomingRequest,
) -> Result<ServiceCall<'a>, Refusal> {
    let (service, path) = split_path(&incoming.path)?;
    let admitted = admission::admit_plain(context, incoming, service)?;
    let identity =
        || random_identity().map_err(|error| Refusal::not_run(Code::NoEndpoint, error.to_string()));
    let content_digest = digest(&[
        admitted.workspace.as_bytes(),
        admitted.service.as_bytes(),
        incoming.method.as_bytes(),
        path.as_bytes(),
        &incoming.body,
    ]);
    let idempotent = admitted.idempotent;
    Ok(ServiceCall {
        context,
        routing_request: routing_request(context, admitted),
        content_digest,
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
    })
}

/// Splits `/services/<service>/<path>` into the service, and the path and query.
fn split_path(path: &str) -> Result<(&str, &str), Refusal> {
    let malformed = || Refusal::not_run(Code::Malformed, "path names no service");
    let rest = path.strip_prefix("/services/").ok_or_else(malformed)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(malformed());
    }
    Ok((service, path))
}

fn routing_request(context: &Context, admitted: AdmittedRequest) -> Request {
    let arrived = context.node.clock.now();
    let priority = admitted.priority(None);
    Request {
        id: context.next_request(),
        service: admitted.service,
        workspace: admitted.workspace,
        model: None,
        priority,
        prompt_tokens: 0,
        prefix: None,
        prefix_tokens: 0,
        max_output_tokens: None,
        arrived,
        deadline: arrived + Duration::from_millis(admitted.deadline_ms),
        avoid: Vec::new(),
    }
}
