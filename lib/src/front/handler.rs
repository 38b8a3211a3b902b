use std::io::{self, Read as _};

use super::{Code, Context, Incoming, Refusal, Reply, chat, service};

const TEXT: &str = "text/plain";
const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICES_PATH: &str = "/services/";

/// Serves one request of the HTTP server.
pub(super) fn serve(context: &Context, mut request: tiny_http::Request) {
    let incoming = read(context, &mut request);
    let mut reply = Reply::new(request.into_writer());
    let answered = match incoming {
        Ok(incoming) => dispatch(context, &incoming, &mut reply),
        Err(refusal) => reply.refuse(&refusal),
    };
    if let Err(error) = answered {
        log::debug!("caller went away: {error}");
    }
}

fn read(context: &Context, request: &mut tiny_http::Request) -> Result<Incoming, Refusal> {
    let limit = context.node.settings.limits.body_bytes;
    let headers = request
        .headers()
        .iter()
        .map(|header| (header.field.to_string(), header.value.to_string()))
        .collect();
    let mut incoming = Incoming {
        method: request.method().to_string(),
        path: request.url().to_owned(),
        headers,
        body: Vec::new(),
    };
    request
        .as_reader()
        .take(limit + 1)
        .read_to_end(&mut incoming.body)
        .map_err(|_lost| Refusal::not_run(Code::Malformed, "the body could not be read"))?;
    if incoming.body.len() as u64 > limit {
        return Err(Refusal::not_run(Code::TooLarge, "the body is too large"));
    }
    Ok(incoming)
}

fn dispatch(context: &Context, incoming: &Incoming, reply: &mut Reply) -> io::Result<()> {
    match incoming.path_only() {
        "/healthz" => reply.whole(200, TEXT, b"ok"),
        "/readyz" => ready(context, reply),
        _ => admit(context, incoming, reply),
    }
}

fn ready(context: &Context, reply: &mut Reply) -> io::Result<()> {
    match unready(context) {
        None => reply.whole(200, TEXT, b"ready"),
        Some(refusal) => reply.refuse(&refusal),
    }
}

fn unready(context: &Context) -> Option<Refusal> {
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

fn admit(context: &Context, incoming: &Incoming, reply: &mut Reply) -> io::Result<()> {
    if !context.enter() {
        let message = "too many requests are open";
        return reply.refuse(&Refusal::not_run(Code::OverLimit, message));
    }
    let answered = match unready(context) {
        Some(refusal) => reply.refuse(&refusal),
        None => route(context, incoming, reply),
    };
    context.leave();
    answered
}

fn route(context: &Context, incoming: &Incoming, reply: &mut Reply) -> io::Result<()> {
    let path = incoming.path_only();
    if path == CHAT_PATH && incoming.method == "POST" {
        return chat::serve(context, incoming, reply);
    }
    if path.starts_with(SERVICES_PATH) {
        return service::serve(context, incoming, reply);
    }
    reply.refuse(&Refusal::not_run(Code::Malformed, "no such path"))
}
