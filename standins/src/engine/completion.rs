//! Handlers for completions, and for KV export and import.

use std::io;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use ragwortgrade_schema::engine::{Completion, KvExport, KvHandle, KvImport, Role, Token};
use tiny_http::Request;

use super::answer::{self, DEFAULT_ANSWER_TOKENS};
use super::sequence::{Progress, Sequence};
use super::shared::Shared;
use crate::http::{self, ATTEMPT_HEADER, Empty, unix_ms};

/// Number of exported handles at which the next export discards the older ones.
const EXPORTS_MAX: usize = 1_024;
const KV_FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const BROKEN_STREAM: &[u8] = b"stream broken on request\r\n";

/// Handles `POST /v1/chat/completions`.
pub(super) fn complete(shared: &Shared, mut request: Request) {
    let Ok(completion) = http::read_json::<Completion>(&mut request) else {
        return http::respond(request, 400, &Empty {});
    };
    let attempt = http::header(&request, ATTEMPT_HEADER).unwrap_or_default();
    let resume_from = number_header(&request, "X-Resume-From").unwrap_or(0);
    let priority = number_header(&request, "X-Priority").unwrap_or(0) as u8;
    let prefix = http::header(&request, "X-Prefix-Hash")
        .and_then(|text| u64::from_str_radix(&text, 16).ok());
    if let Some(status) = refusal_status(shared, &completion) {
        return http::respond(request, status, &Empty {});
    }
    let end_index = completion.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let params = SequenceParams {
        attempt: attempt.clone(),
        priority,
        prefix,
        next_index: resume_from,
        end_index: end_index.max(resume_from),
    };
    let progress = enqueue(shared, &completion, params);
    let is_crossed = consume_crossed_answer(shared);
    let (attempt, content_hash) = if is_crossed {
        ("another-attempt".to_owned(), u64::from(resume_from))
    } else {
        (attempt, answer::content_hash(&completion))
    };
    // A write error means that the client has disconnected. The batch detects it by the closed
    // channel.
    drop(write_stream(request, &attempt, content_hash, &progress));
}

/// Handles `POST /kv/export`; responds when the prefill is complete.
pub(super) fn export(shared: &Shared, mut request: Request) {
    let Ok(export) = http::read_json::<KvExport>(&mut request) else {
        return http::respond(request, 400, &Empty {});
    };
    if !shared.lock().serves(&export.completion.model) {
        return http::respond(request, 404, &Empty {});
    }
    let params = SequenceParams {
        attempt: export.attempt.clone(),
        priority: export.priority,
        prefix: None,
        next_index: 0,
        end_index: 0,
    };
    let progress = enqueue(shared, &export.completion, params);
    if progress.recv() != Ok(Progress::Done) {
        return http::break_connection(request);
    }
    let tokens = prompt_tokens(&export.completion);
    let handle = format!("kv-{}-{}", shared.settings.name, export.attempt);
    let mut state = shared.lock();
    if state.exports.len() >= EXPORTS_MAX {
        state.exports.clear();
    }
    state.exports.insert(handle.clone(), tokens);
    drop(state);
    let exported = KvHandle {
        attempt: export.attempt,
        handle,
        tokens,
    };
    http::respond(request, 200, &exported);
}

/// Handles `GET /kv/<handle>`, which an importing engine calls.
pub(super) fn fetch(shared: &Shared, request: Request, handle: &str) {
    let found = shared.lock().exports.get(handle).copied();
    match found {
        Some(tokens) => http::respond(request, 200, &tokens),
        None => http::respond(request, 404, &Empty {}),
    }
}

/// Handles `POST /kv/import`; responds after the fetch from the exporting engine.
pub(super) fn import(shared: &Shared, mut request: Request) {
    let Ok(import) = http::read_json::<KvImport>(&mut request) else {
        return http::respond(request, 400, &Empty {});
    };
    let url = format!("http://{}/kv/{}", import.from, import.handle);
    let fetched = ureq::get(&url)
        .config()
        .timeout_global(Some(KV_FETCH_TIMEOUT))
        .build()
        .call()
        .and_then(|mut response| response.body_mut().read_json::<u32>());
    match fetched {
        Ok(tokens) => {
            shared.lock().imports.insert(import.attempt, tokens);
            http::respond(request, 200, &Empty {});
        }
        Err(_) => http::respond(request, 404, &Empty {}),
    }
}

/// Returns the number of tokens in all messages.
fn prompt_tokens(completion: &Completion) -> u32 {
    let messages = completion.messages.iter();
    messages
        .map(|message| answer::token_count(&message.content))
        .sum()
}

struct SequenceParams {
    attempt: String,
    priority: u8,
    prefix: Option<u64>,
    next_index: u32,
    end_index: u32,
}

/// Counts the arrival, and returns the status with which the engine refuses the completion: 404 for
/// a model that is not loaded, 503 during a role change and in the prefill role.
fn refusal_status(shared: &Shared, completion: &Completion) -> Option<u16> {
    let mut state = shared.lock();
    state.work.arrivals += 1;
    state.work.last_arrival_ms = unix_ms();
    if !state.serves(&completion.model) {
        return Some(404);
    }
    let role_changes = state
        .change
        .as_ref()
        .is_some_and(|want| want.role != state.role);
    (role_changes || state.role == Role::Prefill).then_some(503)
}

fn enqueue(shared: &Shared, completion: &Completion, params: SequenceParams) -> Receiver<Progress> {
    let (sender, progress) = mpsc::channel();
    let prompt_tokens = prompt_tokens(completion);
    let last = completion.messages.last();
    let last_message_tokens = last.map_or(0, |message| answer::token_count(&message.content));
    // As in the prefix hash of the daemons, the prefix is all messages but the last. A single
    // message counts as its own prefix.
    let prefix_tokens = match completion.messages.len() {
        0 | 1 => prompt_tokens,
        _ => prompt_tokens - last_message_tokens,
    };
    let has_crash_marker = shared.settings.crash_marker.as_ref().is_some_and(|marker| {
        let mut messages = completion.messages.iter();
        messages.any(|message| message.content.contains(marker))
    });
    let sequence = Sequence {
        attempt: params.attempt,
        priority: params.priority,
        prefix: params.prefix,
        prefix_tokens,
        prompt_tokens,
        prefill_left: prompt_tokens + params.next_index,
        blocks: 0,
        next_index: params.next_index,
        end_index: params.end_index,
        has_crash_marker,
        progress: sender,
    };
    let mut state = shared.lock();
    if !state.crashed {
        state.waiting.push(sequence);
    }
    drop(state);
    shared.changed.notify_all();
    progress
}

/// Returns whether the fault crosses this answer, and decrements its counter.
fn consume_crossed_answer(shared: &Shared) -> bool {
    let mut state = shared.lock();
    let is_crossed = state.fault.crossed_answers > 0;
    state.fault.crossed_answers = state.fault.crossed_answers.saturating_sub(1);
    is_crossed
}

fn write_stream(
    request: Request,
    attempt: &str,
    content_hash: u64,
    progress: &Receiver<Progress>,
) -> io::Result<()> {
    let mut writer = request.into_writer();
    http::start_stream(&mut writer, attempt)?;
    loop {
        match progress.recv() {
            Ok(Progress::Token(index)) => {
                let token = Token {
                    attempt: attempt.to_owned(),
                    index,
                    token: answer::token(content_hash, index),
                };
                let text = serde_json::to_string(&token)?;
                http::write_chunk(&mut writer, &format!("data: {text}\n\n"))?;
            }
            Ok(Progress::Done) => {
                http::write_chunk(&mut writer, "data: [DONE]\n\n")?;
                return http::end_stream(&mut writer);
            }
            Err(_) => {
                // This is not a valid chunk header, so the client detects the broken stream at
                // once.
                writer.write_all(BROKEN_STREAM)?;
                return writer.flush();
            }
        }
    }
}

fn number_header(request: &Request, name: &str) -> Option<u32> {
    http::header(request, name)?.parse().ok()
}
