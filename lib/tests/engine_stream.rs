//! Streams of the HTTP client of model engines.

use ragwortgrade_lib::endpoint::{Call, Engine as _, HttpEngine};
use ragwortgrade_schema::engine::Completion;
use ragwortgrade_standins::site::{Response, Worker};
use ragwortgrade_testutil::named_cases;

/// Most bytes that an engine can send before its stream is given up: the largest line, and what the
/// sockets buffer.
const ENDLESS_BYTES_ACCEPTED_MAX: usize = 16 << 20;

fn call() -> Call {
    Call {
        attempt: "a".to_owned(),
        priority: 0,
        prefix: None,
        resume_from: 0,
        completion: Completion {
            deadline_ms: None,
            max_tokens: Some(10),
            messages: Vec::new(),
            model: "m".into(),
            priority: None,
            stream: true,
        },
    }
}

/// Guards against bytes without end from an engine, which would fill the memory of the VM or keep
/// the caller for ever.
fn endless_stream_fails(start: &'static str, repeated: &'static str) {
    let engine = Worker::bind(move |_| {
        let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n";
        let repeated = repeated.repeat(4_096).into_bytes();
        let start = format!("{head}{start}").into_bytes();
        Response::Endless { start, repeated }
    });
    let client = HttpEngine::open();
    let mut stream = client
        .complete(&engine.address().to_string(), &call())
        .unwrap();
    assert!(stream.next_token().is_err());
    drop(stream);
    let sent = engine.endless_bytes();
    assert!(
        sent < ENDLESS_BYTES_ACCEPTED_MAX,
        "{sent} bytes were accepted"
    );
}

named_cases! { endless_stream_fails:
    in_one_line("", "x");
    in_one_event("data: ", "x");
    in_lines_without_data("", ": comment\n");
    in_empty_lines("", "\n");
}
