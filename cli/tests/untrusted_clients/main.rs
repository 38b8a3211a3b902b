//! Callers that use memory and connections beyond their share: the gateway must stay alive and within
//! the memory of its machine, and still answer ordinary callers.
//!
//! Each test starts the program itself with stand-ins for the store and the worker, since the memory
//! that counts is that of the process. Nothing here checks times or the share of served requests.

mod crowd;
mod site;

use ragwortgrade_standins::site::Example;
use ragwortgrade_testutil::named_cases;

use crowd::{Crowd, chunked, declared, one_byte_chunks};
use site::{BODY_BYTES_MAX, FEW_OPEN_FILES_MAX, OPEN_FILES_MAX, Site};

/// Part of a body of the maximum size that is not sent.
const MISSING_BYTES: usize = 16 << 10;
/// Number of one-byte chunks of a body, in large packets and in packets of their own.
const SMALL_CHUNKS: usize = 40_000;
const SINGLE_CHUNKS: usize = 2_000;

/// Guards against bodies that exceed the memory together although each is within its limit: whole or
/// in pieces, and unfinished.
fn unfinished_bodies(pieces: &[Vec<u8>]) {
    let site = Site::start(OPEN_FILES_MAX);
    let crowd = Crowd::send(&site, pieces);
    site.check_ordinary_caller(&crowd);
    site.check_largest_body();
    site.check_bounds();
}

named_cases! { unfinished_bodies:
    declared_length_sent_whole(&declared(BODY_BYTES_MAX, BODY_BYTES_MAX - MISSING_BYTES, usize::MAX));
    declared_length_sent_in_pieces(&declared(BODY_BYTES_MAX, BODY_BYTES_MAX - MISSING_BYTES, 16 << 10));
    large_chunks(&chunked(64 << 10, BODY_BYTES_MAX - MISSING_BYTES));
    small_chunks_in_large_packets(&one_byte_chunks(SMALL_CHUNKS, usize::MAX));
    small_chunks_in_packets_of_their_own(&one_byte_chunks(SINGLE_CHUNKS, 1));
}

/// Guards against bodies beyond the limit that are held before they are refused.
fn bodies_over_the_limit(pieces: &[Vec<u8>]) {
    unfinished_bodies(pieces);
}

named_cases! { bodies_over_the_limit:
    declared_length_over_the_limit(&declared(64 * BODY_BYTES_MAX, 2 * BODY_BYTES_MAX, 64 << 10));
    chunks_over_the_limit(&chunked(64 << 10, 2 * BODY_BYTES_MAX));
}

/// Guards against responses that are held for callers that never read them.
fn unread_responses(path: &str) {
    let site = Site::start(OPEN_FILES_MAX);
    let (name, value) = Example::PROMPT;
    let request = format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\n{name}: {value}\r\n\r\n");
    let crowd = Crowd::send_without_reading(&site, &[request.into_bytes()]);
    site.wait_for_worker_requests();
    site.check_ordinary_caller(&crowd);
    site.check_bounds();
}

named_cases! { unread_responses:
    unread_plain_responses("/safe/large");
    unread_streams("/talk/large");
}

/// Guards against connections that keep ordinary callers out without sending a request.
fn incomplete_heads(head: &str) {
    let site = Site::start(FEW_OPEN_FILES_MAX);
    let crowd = Crowd::send(&site, &[head.as_bytes().to_vec()]);
    site.check_ordinary_caller(&crowd);
    site.check_bounds();
}

named_cases! { incomplete_heads:
    connections_without_a_head("");
    connections_with_half_a_head("POST /safe/x HTTP/1.1\r\nHost: shop.exam");
}

/// Guards against requests that are read ahead while an earlier one of the connection is answered.
#[test]
fn pipelined_requests_with_bodies() {
    let site = Site::start(OPEN_FILES_MAX);
    let mut pieces = Vec::new();
    for _ in 0..4 {
        pieces.extend(declared(BODY_BYTES_MAX / 2, BODY_BYTES_MAX / 2, usize::MAX));
    }
    let crowd = Crowd::send_without_reading(&site, &pieces);
    site.check_ordinary_caller(&crowd);
    site.check_largest_body();
    site.check_bounds();
}
