//! HTTP interface of the engine.

use std::sync::Arc;
use std::time::Duration;

use ragwortgrade_schema::engine::Cancel;
use serde::Deserialize;
use tiny_http::{Method, Request};

use super::shared::Shared;
use super::{completion, orders};
use crate::http::{self, Empty};

#[derive(Deserialize)]
struct Draining {
    draining: bool,
}

/// Routes a request to its handler.
pub(super) fn handle(shared: &Arc<Shared>, request: Request) {
    if shared.lock().crashed {
        return http::break_connection(request);
    }
    let path = http::path(&request);
    match (request.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => completion::complete(shared, request),
        (Method::Post, "/cancel") => cancel(shared, request),
        (Method::Get, "/load") => load(shared, request),
        (Method::Get, "/state") => state(shared, request),
        (Method::Get, "/cache-events") => cache_events(shared, request),
        (Method::Post, "/orders") => orders::handle(shared, request),
        (Method::Post, "/kv/export") => completion::export(shared, request),
        (Method::Post, "/kv/import") => completion::import(shared, request),
        (_, path) if path.starts_with("/debug/") => debug(shared, path, request),
        (Method::Get, path) => match path.strip_prefix("/kv/") {
            Some(handle) => completion::fetch(shared, request, handle),
            None => http::respond(request, 404, &Empty {}),
        },
        _ => http::respond(request, 404, &Empty {}),
    }
}

fn cancel(shared: &Shared, mut request: Request) {
    let Ok(cancel) = http::read_json::<Cancel>(&mut request) else {
        return http::respond(request, 400, &Empty {});
    };
    shared.lock().cancel(&cancel.attempt);
    http::respond(request, 200, &Empty {});
}

fn load(shared: &Shared, request: Request) {
    let settings = &shared.settings;
    let lag = Duration::from_millis(settings.load_lag_ms);
    let report = shared
        .lock()
        .cached_load(lag, &settings.name, shared.incarnation);
    http::respond(request, 200, &report);
}

fn state(shared: &Shared, request: Request) {
    let report = shared
        .lock()
        .load(&shared.settings.name, shared.incarnation);
    http::respond(request, 200, &report);
}

fn cache_events(shared: &Shared, request: Request) {
    let events = shared
        .lock()
        .events
        .visible_after(http::query_number(&request, "after"));
    http::respond(request, 200, &events);
}

fn debug(shared: &Shared, path: &str, mut request: Request) {
    match path {
        "/debug/orders" => http::respond(request, 200, &shared.orders.records()),
        "/debug/work" => {
            let work = shared.lock().work.clone();
            http::respond(request, 200, &work);
        }
        "/debug/drain" => match http::read_json::<Draining>(&mut request) {
            Ok(body) => {
                shared.lock().draining = body.draining;
                http::respond(request, 200, &Empty {});
            }
            Err(_) => http::respond(request, 400, &Empty {}),
        },
        "/debug/fault" => match http::read_json(&mut request) {
            Ok(fault) => {
                shared.lock().fault = fault;
                http::respond(request, 200, &Empty {});
            }
            Err(_) => http::respond(request, 400, &Empty {}),
        },
        "/debug/crash" => shared.crash_on_request(),
        _ => http::respond(request, 404, &Empty {}),
    }
}
