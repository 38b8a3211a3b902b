//! HTTP client of the daemons, for tests and load generators.

mod answer;
mod refusal;
mod request;
mod verdict;

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ragwortgrade_schema::engine::Token;
use ragwortgrade_schema::platform::{Write, Written};
use serde::{Deserialize, Serialize};
use ureq::http::Response;
use ureq::{Agent, Body};

pub use self::answer::{Answer, End};
pub use self::refusal::Refusal;
pub use self::request::{ChatRequest, PlainRequest};
pub use self::verdict::Verdict;
use crate::Error;
use crate::http::ATTEMPT_HEADER;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Default timeout of a call, longer than any request deadline in the tests.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);
const RESPONSE_BYTES_MAX: u64 = 16 << 20;
const DATA_PREFIX: &str = "data: ";
const ID_PREFIX: &str = "id: ";
const DONE: &str = "[DONE]";

/// HTTP client for daemons and stand-ins; clones share its connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Content,
    #[serde(default)]
    message: Content,
}

#[derive(Default, Deserialize)]
struct Content {
    #[serde(default)]
    content: String,
}

impl Caller {
    /// Creates a caller with a timeout of one minute.
    #[must_use]
    pub fn open() -> Self {
        Self::with_timeout(CALL_TIMEOUT)
    }

    /// Creates a caller whose calls time out after `timeout`.
    #[must_use]
    pub fn with_timeout(timeout: Duration) -> Self {
        let agent = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build()
            .into();
        Self { agent }
    }

    /// Requests a chat completion from a daemon; `last_event` resumes a broken stream.
    #[must_use]
    pub fn chat(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        last_event: Option<&str>,
    ) -> Answer {
        let mut http_request = self
            .agent
            .post(format!("http://{address}/v1/chat/completions"))
            .header("X-Workspace", &request.workspace);
        if let Some(service) = &request.service {
            http_request = http_request.header("X-Service", service);
        }
        if let Some(last_event) = last_event {
            http_request = http_request.header("Last-Event-ID", last_event);
        }
        let started = Instant::now();
        match http_request.send_json(&request.completion) {
            Err(error) => Answer::broken(error.to_string()),
            Ok(mut response) if !response.status().is_success() => Answer::refused(&mut response),
            Ok(response) if request.completion.stream => read_stream(response, started),
            Ok(response) => read_buffered(response, started),
        }
    }

    /// Requests a chat completion directly from an engine.
    #[must_use]
    pub fn chat_with_engine(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        attempt: &str,
    ) -> Answer {
        let http_request = self
            .agent
            .post(format!("http://{address}/v1/chat/completions"))
            .header(ATTEMPT_HEADER, attempt);
        let started = Instant::now();
        match http_request.send_json(&request.completion) {
            Err(error) => Answer::broken(error.to_string()),
            Ok(mut response) if !response.status().is_success() => Answer::refused(&mut response),
            Ok(response) => read_stream(response, started),
        }
    }

    /// Calls a plain service through a daemon.
    #[must_use]
    pub fn call(&self, address: SocketAddr, request: &PlainRequest) -> Answer {
        let PlainRequest { service, path, .. } = request;
        let mut http_request = self
            .agent
            .post(format!("http://{address}/services/{service}{path}"))
            .header("X-Workspace", &request.workspace);
        if let Some(key) = &request.key {
            http_request = http_request.header("Idempotency-Key", key);
        }
        match http_request.send(&request.body) {
            Err(error) => Answer::broken(error.to_string()),
            Ok(mut response) if !response.status().is_success() => Answer::refused(&mut response),
            Ok(mut response) => match read_text(&mut response) {
                Ok(text) => Answer::complete(vec![text]),
                Err(error) => Answer::broken(error.to_string()),
            },
        }
    }

    /// Returns whether a GET request succeeds.
    #[must_use]
    pub fn is_ok(&self, url: &str) -> bool {
        let response = self.agent.get(url).call();
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Fails when the call fails, is refused, or returns another kind of document.
    pub fn get<T: for<'a> Deserialize<'a>>(&self, url: &str) -> Result<T, Error> {
        let response = self.agent.get(url).call();
        read_json(url, response)
    }

    /// Posts a JSON document and discards the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or is refused.
    pub fn post(&self, url: &str, body: &impl Serialize) -> Result<(), Error> {
        let response = self.agent.post(url).send_json(body);
        let _: serde_json::Value = read_json(url, response)?;
        Ok(())
    }

    /// Writes a key of the key-value service and returns its new revision.
    ///
    /// # Errors
    ///
    /// Fails when the call fails or the key has another revision than expected.
    pub fn write(&self, key_value: SocketAddr, write: &Write) -> Result<u64, Error> {
        let url = format!("http://{key_value}/cas");
        let response = self.agent.post(&url).send_json(write);
        let written: Written = read_json(&url, response)?;
        Ok(written.revision)
    }
}

fn read_json<T: for<'a> Deserialize<'a>>(
    url: &str,
    response: Result<Response<Body>, ureq::Error>,
) -> Result<T, Error> {
    let call_error = |reason: String| Error::Call {
        url: url.to_owned(),
        reason,
    };
    let mut response = response.map_err(|error| call_error(error.to_string()))?;
    let text = read_text(&mut response).map_err(|error| call_error(error.to_string()))?;
    if !response.status().is_success() {
        return Err(call_error(format!("status {}: {text}", response.status())));
    }
    serde_json::from_str(&text).map_err(|error| call_error(format!("{error}: {text}")))
}

fn read_text(response: &mut Response<Body>) -> Result<String, ureq::Error> {
    response
        .body_mut()
        .with_config()
        .limit(RESPONSE_BYTES_MAX)
        .read_to_string()
}

/// Reads an unstreamed response of a daemon. Its text becomes a single token.
fn read_buffered(mut response: Response<Body>, started: Instant) -> Answer {
    let text = match read_text(&mut response) {
        Ok(text) => text,
        Err(error) => return Answer::broken(error.to_string()),
    };
    match serde_json::from_str::<Chunk>(&text) {
        Ok(chunk) => {
            let contents = chunk
                .choices
                .into_iter()
                .map(|choice| choice.message.content);
            let mut answer = Answer::complete(contents.collect());
            answer.first_token = Some(started.elapsed());
            answer
        }
        Err(error) => Answer::broken(format!("{error}: {text}")),
    }
}

/// Reads a stream of server-sent events from a daemon or an engine to its end.
fn read_stream(response: Response<Body>, started: Instant) -> Answer {
    let mut answer = Answer::broken("the stream ended early".to_owned());
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                answer.end = End::Broken(error.to_string());
                return answer;
            }
        };
        if let Some(id) = line.strip_prefix(ID_PREFIX) {
            answer.pending_event = Some(id.to_owned());
        }
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            continue;
        };
        if data == DONE {
            answer.end = End::Complete;
            return answer;
        }
        let Some(token) = parse_token(data) else {
            answer.end = End::Broken(format!("unexpected event: {data}"));
            return answer;
        };
        answer.push(token, started.elapsed());
    }
    answer
}

/// Parses the token of an event, in the format of the engines or of the daemons.
fn parse_token(data: &str) -> Option<String> {
    if let Ok(token) = serde_json::from_str::<Token>(data) {
        return Some(token.token);
    }
    let chunk: Chunk = serde_json::from_str(data).ok()?;
    Some(chunk.choices.into_iter().next()?.delta.content)
}
