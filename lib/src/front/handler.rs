use std::io;

use super::{Code, Context, IncomingRequest, Refusal, Reply, chat, service};

const TEXT: &str = "text/plain";
const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICES_PATH: &str = "/services/";

/// Serves one request of a caller.
pub(super) fn serve(context: &Context, incoming: &IncomingRequest, reply: &mut Reply) {
    let responded = match incoming.path_only() {
        "/healthz" => reply.respond(200, TEXT, b"ok"),
        "/readyz" => respond_ready(context, reply),
        _ => admit(context, incoming, reply),
    };
    if let Err(error) = responded {
        log::debug!("response was not completed: {error}");
    }
}

fn respond_ready(context: &Context, reply: &mut Reply) -> io::Result<()> {
    match unready_refusal(context) {
        // Keeps the load balancer from sending requests before they can be routed.
        None if !context.node.are_loads_known() => {
            let message = "the daemon has read no endpoint yet";
            reply.refuse(&Refusal::not_run(Code::NoEndpoint, message))
        }
        None => reply.respond(200, TEXT, b"ready"),
        Some(refusal) => reply.refuse(&refusal),
    }
}

fn unready_refusal(context: &Context) -> Option<Refusal> {
    if context.node.is_draining() {
        let message = "the daemon is about to stop";
        return Some(Refusal::not_run(Code::Draining, message));
    }
    if context.node.configuration.load().is_none() {
        let message = "the daemon has no configuration yet";
        return Some(Refusal::not_run(Code::NotConfigured, message));
    }
    None
}

/// Counts the request as open before checking the draining state, so that a drain that starts in
/// between either waits for the request or causes its refusal.
fn admit(context: &Context, incoming: &IncomingRequest, reply: &mut Reply) -> io::Result<()> {
    let Some(_open) = context.try_open_request() else {
        let message = "too many requests are open";
        return reply.refuse(&Refusal::not_run(Code::OverLimit, message));
    };
    match unready_refusal(context) {
        Some(refusal) => reply.refuse(&refusal),
        None => route(context, incoming, reply),
    }
}

fn route(context: &Context, incoming: &IncomingRequest, reply: &mut Reply) -> io::Result<()> {
    let path = incoming.path_only();
    if path == CHAT_PATH && incoming.method == "POST" {
        return chat::serve(context, incoming, reply);
    }
    if path.starts_with(SERVICES_PATH) {
        return service::serve(context, incoming, reply);
    }
    reply.refuse(&Refusal::not_run(Code::Malformed, "no such path"))
}
