//! The HTTP interface for callers, tested by a caller that sends raw HTTP.

mod fakes;

use std::io::Read as _;

use fakes::{Caller, Fixture, Script};
use ragwortgrade_lib::front::Code;
use ragwortgrade_testutil::named_cases;
use serde_json::json;

#[test]
fn a_stream_has_one_event_per_token() {
    // Guards against tokens that the daemon loses, repeats or combines.
    let fixture = Fixture::open();
    fixture.engine("e1");
    let mut caller = fixture.caller();
    assert_eq!(caller.chat(true, "").head().0, 200);
    assert_eq!(caller.events(), ((0..6).collect(), true));
}

#[test]
fn a_connection_serves_several_requests() {
    // Guards against bytes of one request that are parsed as a part of the next.
    let fixture = Fixture::open();
    fixture.engine("e1");
    let mut caller = fixture.caller();
    for _ in 0..3 {
        let response = caller.chat(false, "").response();
        let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
        assert_eq!(body["choices"][0]["message"]["content"], "t0t1t2t3t4t5");
    }
}

/// Sends a request that must be refused before anything runs. Guards against input that reaches an
/// endpoint, and against limits that are not enforced.
fn is_refused(request: &str, status: u16, code: &str) {
    let fixture = Fixture::with_limits(&json!({
        "body_bytes": 2_000, "header_count": 8, "header_bytes": 1_024, "read_timeout_ms": 300
    }));
    fixture.engine("e1").endpoint("p1", Some("order"));
    let response = fixture.caller().send(request.as_bytes()).response();
    assert_eq!(
        response.refusal(),
        (status, code.to_owned(), "no".to_owned())
    );
    assert_eq!(fixture.engines.calls(), Vec::new());
    assert_eq!(fixture.plain_services.runs(), 0);
}

fn chat(headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST /v1/chat/completions HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

const LAB: &str = "X-Workspace: lab\r\n";
const BODY: &str = r#"{"model":"weave","messages":[]}"#;

named_cases! { is_refused:
    invalid_json(&chat(LAB, "{"), 400, "malformed");
    no_workspace(&chat("", BODY), 400, "malformed");
    two_workspaces(&chat("X-Workspace: lab\r\nx-workspace: narrow\r\n", BODY), 400, "malformed");
    invalid_path("GET /services/order/{x} HTTP/1.1\r\nX-Workspace: lab\r\n\r\n", 400, "malformed");
    unknown_path("GET /nothing HTTP/1.1\r\n\r\n", 400, "malformed");
    not_http("\x01\x02\r\n\r\n", 400, "malformed");
    two_lengths(&chat("Content-Length: 3\r\n", BODY), 400, "malformed");
    length_and_chunks(&chat("Transfer-Encoding: chunked\r\n", BODY), 400, "malformed");
    bad_chunk("POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        400, "malformed");
    undeclared_workspace(&chat("X-Workspace: other\r\n", BODY), 403, "unknown_workspace");
    undeclared_model(&chat(LAB, &BODY.replace("weave", "none")), 404, "unknown_model");
    undeclared_model_service(&chat("X-Workspace: lab\r\nX-Service: none\r\n", BODY), 404,
        "unknown_service");
    plain_service_for_a_model(&chat("X-Workspace: lab\r\nX-Service: stock\r\n", BODY), 404,
        "unknown_service");
    forbidden_service("GET /services/order/x HTTP/1.1\r\nX-Workspace: narrow\r\n\r\n", 404,
        "unknown_service");
    undeclared_plain_service("GET /services/none/x HTTP/1.1\r\nX-Workspace: lab\r\n\r\n", 404,
        "unknown_service");
    slow_head("POST /v1/chat", 408, "slow_sender");
    slow_body("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{", 408, "slow_sender");
    long_body(&chat(LAB, &"x".repeat(2_001)), 413, "too_large");
    long_chunks("POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n",
        413, "too_large");
    many_headers(&chat(&"A: b\r\n".repeat(9), BODY), 431, "too_many_headers");
    long_headers(&chat(&format!("A: {}\r\n", "b".repeat(2_000)), BODY), 431, "too_many_headers");
    no_plain_endpoint("GET /services/stock/x HTTP/1.1\r\nX-Workspace: lab\r\n\r\n", 503,
        "no_endpoint");
}

#[test]
fn a_request_within_the_limits_is_accepted() {
    // Negative control of `is_refused`: the same settings accept a request at the limits.
    let fixture = Fixture::with_limits(&json!({
        "body_bytes": 2_000, "header_count": 8, "header_bytes": 1_024, "read_timeout_ms": 300
    }));
    fixture.engine("e1");
    let body = format!("{BODY}{}", " ".repeat(2_000 - BODY.len()));
    let response = fixture
        .caller()
        .send(chat(LAB, &body).as_bytes())
        .response();
    assert_eq!(response.status, 200);
}

#[test]
fn declared_lengths_alone_keep_no_caller_out() {
    // Guards against callers that send only heads and thereby take the memory for bodies.
    let fixture = Fixture::with_limits(&json!({"body_bytes": 64 << 20}));
    fixture.engine("e1");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\n{LAB}Content-Length: {}\r\n\r\n",
        64 << 20
    );
    let waiting: Vec<Caller> = (0..8)
        .map(|_| {
            let mut caller = fixture.caller();
            caller.send(head.as_bytes());
            caller
        })
        .collect();
    // The heads are read by other threads.
    std::thread::sleep(std::time::Duration::from_millis(300));
    let response = fixture.caller().send(chat(LAB, BODY).as_bytes()).response();
    assert_eq!(response.status, 200, "{} heads", waiting.len());
}

#[test]
fn open_requests_are_limited() {
    // Guards against a daemon that accepts more requests than it has threads and memory for.
    let fixture = Fixture::with_limits(&json!({"open_requests": 1}));
    fixture.engine("e1").engine("e2");
    fixture.engines.script("e1", Script::Endless);
    fixture.engines.script("e2", Script::Endless);
    let mut first = fixture.caller();
    assert_eq!(first.chat(true, "").head().0, 200);
    let refused = fixture.caller().chat(false, "").response();
    let expected = (429, "over_limit".to_owned(), "no".to_owned());
    assert_eq!(refused.refusal(), expected);
}

#[test]
fn memory_for_bodies_is_limited() {
    // Guards against callers that announce long bodies and so exhaust the memory of the VM.
    const CALLERS_MAX: usize = 200;
    const REQUESTS_MAX: usize = 10_000;
    let fixture = Fixture::open();
    fixture.engine("e1");
    let send_request = || fixture.caller().chat(false, "").response().status;
    let mut slow: Vec<Caller> = Vec::new();
    // A request that is being served reserves a little memory, so one announcement may be refused;
    // the next one succeeds.
    while send_request() != 429 {
        assert!(
            slow.len() < CALLERS_MAX,
            "bodies of all callers were accepted"
        );
        let mut caller = fixture.caller();
        caller.send(b"POST /x HTTP/1.1\r\nContent-Length: 4194304\r\n\r\n");
        slow.push(caller);
    }
    assert!(slow.len() >= 60, "refused after {} bodies", slow.len());
    slow.clear();
    assert!(
        (0..REQUESTS_MAX).any(|_| send_request() == 200),
        "memory was not released"
    );
}

#[test]
fn a_caller_cannot_raise_its_priority() {
    // Guards against a caller that overtakes others with a higher declared priority.
    let fixture = Fixture::open();
    fixture.engine("e1");
    let send_request = |priority: u8| {
        let body = format!(r#"{{"model":"weave","messages":[],"priority":{priority}}}"#);
        let headers = "X-Workspace: lab\r\nX-Service: stitch\r\n";
        let mut caller = fixture.caller();
        caller.post("/v1/chat/completions", headers, &body);
        assert_eq!(caller.response().status, 200);
        fixture.engines.priorities.lock().unwrap().pop()
    };
    assert_eq!(send_request(9), Some(1));
    assert_eq!(send_request(0), Some(0));
}

#[test]
fn a_workspace_is_limited_to_its_rate() {
    // Guards against one workspace that uses the capacity of the others.
    let fixture = Fixture::open();
    fixture.endpoint("p1", Some("stock"));
    let send_request = |workspace: &str| {
        let headers = format!("X-Workspace: {workspace}\r\n");
        let mut caller = fixture.caller();
        caller.post("/services/stock/x", &headers, "").response()
    };
    let refused = (0..20)
        .map(|_| send_request("small"))
        .find(|response| response.status != 200)
        .expect("the limit is reached");
    let expected = (429, "over_limit".to_owned(), "no".to_owned());
    assert_eq!(refused.refusal(), expected);
    for _ in 0..20 {
        assert_eq!(
            send_request("lab").status,
            200,
            "another workspace is not limited"
        );
    }
}

#[test]
fn a_drain_refuses_requests_and_a_stop_closes_idle_connections() {
    // Guards against requests that are accepted during a drain, and against idle connections that
    // stay open after a stop.
    let mut fixture = Fixture::open();
    fixture.engine("e1");
    let mut caller = fixture.caller();
    assert_eq!(
        caller
            .send(b"GET /readyz HTTP/1.1\r\n\r\n")
            .response()
            .status,
        200
    );
    assert!(fixture.front.drain());
    let refused = caller.send(b"GET /readyz HTTP/1.1\r\n\r\n").response();
    assert_eq!(refused.refusal().1, "draining");
    assert_eq!(caller.chat(false, "").response().refusal().1, "draining");
    fixture.front.stop();
    let mut rest = Vec::new();
    let ended = caller.stream.read_to_end(&mut rest);
    assert!(
        ended.is_ok() && rest.is_empty(),
        "idle connection is closed"
    );
}

#[test]
fn every_code_has_the_documented_status() {
    // Guards against an incompatible change: callers' programs depend on codes and statuses.
    let documented = "malformed 400, unknown_workspace 403, unknown_model 404, \
        unknown_service 404, slow_sender 408, key_conflict 422, in_progress 409, too_large 413, \
        too_many_headers 431, over_limit 429, deadline_unreachable 503, no_endpoint 503, \
        draining 503, claims_unavailable 503, not_configured 503, crashes_endpoints 422, \
        outcome_unknown 504, endpoint_failed 502";
    for entry in documented.split(", ") {
        let (code, status) = entry.split_once(' ').unwrap();
        let found = Code::ALL.into_iter().find(|known| json!(known) == code);
        assert_eq!(found.map(Code::status), status.parse().ok(), "{code}");
    }
}

#[test]
fn http_1_0_gets_events_without_chunked_coding() {
    // Guards against chunk sizes in the event stream of a caller that does not support chunked
    // coding.
    let fixture = Fixture::open();
    fixture.engine("e1");
    let body = r#"{"model":"weave","stream":true,"messages":[]}"#;
    let request = chat(LAB, body).replace("HTTP/1.1", "HTTP/1.0");
    let mut caller = Caller::open(fixture.front.address());
    let mut response = String::new();
    caller.send(request.as_bytes());
    caller.stream.read_to_string(&mut response).unwrap();
    assert!(response.ends_with("\n\ndata: [DONE]\n\n"), "{response}");
    assert!(!response.contains("Transfer-Encoding"), "{response}");
}
