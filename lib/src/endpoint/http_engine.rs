use std::io::{self, BufRead as _, BufReader, Read as _};
use std::time::Duration;

use ragwortgrade_schema::engine::{
    CacheEvents, Cancel, KvExport, KvHandle, KvImport, Load, Order, OrderAnswer, Token,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, BodyReader};

use super::http::{
    ATTEMPT_HEADER, agent, agent_config, check_attempt, classify, classify_io, read_json,
};
use super::{Call, Engine, Error, TokenStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The takeover of a lease relies on orders being in transit for at most 2 s.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the prefill of the longest prompt behind a full queue.
const EXPORT_TIMEOUT: Duration = Duration::from_mins(1);
/// Time without any data of a streamed response, its head included, after which an engine is
/// considered failed; also the timeout of a KV cache import.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(15);
const DATA_PREFIX: &str = "data: ";
const DONE: &str = "[DONE]";
/// Empty lines that may follow the last event.
const END_LINES_MAX: usize = 4;
/// Maximum length of one line of a stream, in bytes.
const LINE_BYTES_MAX: u64 = 64 << 10;
/// Lines without data that may precede a token.
const LINES_BEFORE_TOKEN_MAX: usize = 64;

/// HTTP client of model engines.
#[derive(Debug)]
pub struct HttpEngine {
    streams: Agent,
    control: Agent,
}

impl HttpEngine {
    /// Creates a client for any number of engines.
    #[must_use]
    pub fn open() -> Self {
        let streams = agent_config(CONNECT_TIMEOUT)
            .timeout_per_read(Some(TOKEN_TIMEOUT))
            .build()
            .into();
        Self {
            streams,
            control: agent(CONNECT_TIMEOUT, Some(CONTROL_TIMEOUT)),
        }
    }

    fn get<A: DeserializeOwned>(&self, address: &str, path: &str) -> Result<A, Error> {
        read_json(self.control.get(format!("http://{address}{path}")).call())
    }

    fn post<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
        body: &impl Serialize,
    ) -> Result<A, Error> {
        let request = self.control.post(format!("http://{address}{path}"));
        read_json(
            request
                .config()
                .timeout_global(Some(timeout))
                .build()
                .send_json(body),
        )
    }
}

impl Engine for HttpEngine {
    fn complete(&self, address: &str, call: &Call) -> Result<Box<dyn TokenStream>, Error> {
        let mut request = self
            .streams
            .post(format!("http://{address}/v1/chat/completions"))
            .header(ATTEMPT_HEADER, &call.attempt)
            .header("X-Priority", call.priority.to_string())
            .header("X-Resume-From", call.resume_from.to_string());
        if let Some(prefix) = call.prefix {
            request = request.header("X-Prefix-Hash", format!("{prefix:016x}"));
        }
        let response = request
            .send_json(&call.completion)
            .map_err(|error| classify(&error))?;
        if !response.status().is_success() {
            return Err(Error::Refused {
                status: response.status().as_u16(),
            });
        }
        check_attempt(&response, &call.attempt)?;
        Ok(Box::new(HttpTokenStream {
            attempt: call.attempt.clone(),
            next_index: call.resume_from,
            lines: BufReader::new(response.into_body().into_reader()),
            line: String::new(),
        }))
    }

    fn cancel(&self, address: &str, attempt: &str) -> Result<(), Error> {
        let cancel = Cancel {
            attempt: attempt.to_owned(),
        };
        let _: serde_json::Value = self.post(address, "/cancel", CONTROL_TIMEOUT, &cancel)?;
        Ok(())
    }

    fn load(&self, address: &str) -> Result<Load, Error> {
        self.get(address, "/load")
    }

    fn state(&self, address: &str) -> Result<Load, Error> {
        self.get(address, "/state")
    }

    fn cache_events(&self, address: &str, after: u64) -> Result<CacheEvents, Error> {
        self.get(address, &format!("/cache-events?after={after}"))
    }

    fn order(&self, address: &str, order: &Order) -> Result<OrderAnswer, Error> {
        self.post(address, "/orders", CONTROL_TIMEOUT, order)
    }

    fn export(&self, address: &str, export: &KvExport) -> Result<KvHandle, Error> {
        let handle: KvHandle = self.post(address, "/kv/export", EXPORT_TIMEOUT, export)?;
        if handle.attempt != export.attempt {
            return Err(Error::AttemptMismatch);
        }
        Ok(handle)
    }

    fn import(&self, address: &str, import: &KvImport) -> Result<(), Error> {
        let _: serde_json::Value = self.post(address, "/kv/import", TOKEN_TIMEOUT, import)?;
        Ok(())
    }
}

/// Reads the server-sent events of an engine and checks the attempt and index of each token.
struct HttpTokenStream {
    attempt: String,
    next_index: u32,
    lines: BufReader<BodyReader<'static>>,
    line: String,
}

impl HttpTokenStream {
    /// Reads the next line of limited length; returns 0 at the end of the body.
    fn read_line(&mut self) -> io::Result<usize> {
        self.line.clear();
        let read = (&mut self.lines)
            .take(LINE_BYTES_MAX)
            .read_line(&mut self.line)?;
        if read as u64 == LINE_BYTES_MAX && !self.line.ends_with('\n') {
            let reason = format!("line is longer than {LINE_BYTES_MAX} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(read)
    }

    /// Reads the end of the body, so that the connection can be reused.
    fn finish(&mut self) {
        for _ in 0..END_LINES_MAX {
            match self.read_line() {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) => {
                    log::debug!("connection to an engine cannot be reused: {error}");
                    return;
                }
            }
        }
    }
}

impl TokenStream for HttpTokenStream {
    fn next_token(&mut self) -> Result<Option<Token>, Error> {
        for _ in 0..=LINES_BEFORE_TOKEN_MAX {
            let read = self.read_line().map_err(|error| classify_io(&error))?;
            if read == 0 {
                return Err(Error::Broken {
                    reason: "stream ended early".to_owned(),
                });
            }
            let Some(data) = self.line.trim_end().strip_prefix(DATA_PREFIX) else {
                continue;
            };
            if data == DONE {
                self.finish();
                return Ok(None);
            }
            let token: Token = serde_json::from_str(data).map_err(|error| Error::Malformed {
                reason: error.to_string(),
            })?;
            if token.attempt != self.attempt {
                return Err(Error::AttemptMismatch);
            }
            if token.index != self.next_index {
                let reason = format!(
                    "token index is {} instead of {}",
                    token.index, self.next_index
                );
                return Err(Error::Malformed { reason });
            }
            self.next_index += 1;
            return Ok(Some(token));
        }
        Err(Error::Malformed {
            reason: format!("more than {LINES_BEFORE_TOKEN_MAX} lines without a token"),
        })
    }
}
