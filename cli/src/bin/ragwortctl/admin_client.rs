use std::time::Duration;
use std::{env, fs, io};

use ragwortgrade_lib::Clock;
use ragwortgrade_lib::admin::{AUTH_HEADER, Credential};
use ragwortgrade_schema::admin::{AdminRefusal, DrainRequest, Status};
use ureq::Agent;

use crate::failure::{EXIT_NO_ANSWER, EXIT_REFUSED, EXIT_UNREADABLE_FILE, Failure};
use crate::options::Options;

const KEY_VARIABLE: &str = "RAGWORTCTL_KEY";
const KEY_FORMAT: &str = "expected `<id>:<secret in hexadecimal>`";
/// Failure code for a refused connection: no process listens at the address.
pub(crate) const NOT_LISTENING: &str = "not_listening";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Client for the admin interface of one daemon; it signs every request.
#[derive(Debug)]
pub(crate) struct AdminClient {
    address: String,
    credential: Credential,
    agent: Agent,
}

impl AdminClient {
    /// Opens a client for each `--admin` option; fails if there is none.
    pub(crate) fn open_all(options: &Options) -> Result<Vec<Self>, Failure> {
        if options.admins.is_empty() {
            return Err(Failure::usage("missing option `--admin IP:PORT`"));
        }
        let credential = read_credential(options)?;
        let admins = options.admins.iter();
        let clients = admins.map(|address| Self::open(address, &credential));
        Ok(clients.collect())
    }

    /// Opens a client for the `--admin` option; fails unless there is exactly one.
    pub(crate) fn open_one(options: &Options) -> Result<Self, Failure> {
        let mut clients = Self::open_all(options)?;
        match (clients.pop(), clients.is_empty()) {
            (Some(client), true) => Ok(client),
            _ => Err(Failure::usage("this command takes one `--admin`")),
        }
    }

    fn open(address: &str, credential: &Credential) -> Self {
        Self {
            address: address.to_owned(),
            credential: credential.clone(),
            agent: Agent::config_builder()
                .timeout_global(Some(CALL_TIMEOUT))
                .http_status_as_error(false)
                .build()
                .into(),
        }
    }

    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    pub(crate) fn status(&self) -> Result<Status, Failure> {
        let body = self.get("/status")?;
        serde_json::from_str(&body).map_err(|error| self.no_answer(error))
    }

    pub(crate) fn watch(&self, after: u64) -> Result<String, Failure> {
        self.get(&format!("/watch?after={after}"))
    }

    pub(crate) fn drain(&self, request: &DrainRequest) -> Result<(), Failure> {
        let body = serde_json::to_string(request).map_err(|error| self.no_answer(error))?;
        let header = self.sign("POST", "/drain", &body);
        let url = format!("http://{}/drain", self.address);
        let answer = self.agent.post(url).header(AUTH_HEADER, header).send(body);
        self.read_body(answer).map(drop)
    }

    fn get(&self, path: &str) -> Result<String, Failure> {
        let header = self.sign("GET", path, "");
        let url = format!("http://{}{path}", self.address);
        self.read_body(self.agent.get(url).header(AUTH_HEADER, header).call())
    }

    fn sign(&self, method: &str, path: &str, body: &str) -> String {
        let now = Clock::start().unix_ms();
        self.credential.sign(method, path, now, body.as_bytes())
    }

    fn read_body(
        &self,
        answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<String, Failure> {
        let mut answer = answer.map_err(|error| match &error {
            ureq::Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
                self.not_listening(&error)
            }
            _ => self.no_answer(error),
        })?;
        let body = answer.body_mut().read_to_string();
        let body = body.map_err(|error| self.no_answer(error))?;
        if answer.status().is_success() {
            return Ok(body);
        }
        let status = answer.status();
        let reason = serde_json::from_str::<AdminRefusal>(&body).map_or_else(
            |_| status.to_string(),
            |refusal| format!("{}: {}", refusal.error.code, refusal.error.message),
        );
        let message = format!("daemon at {} refused: {reason}", self.address);
        Err(Failure::new(EXIT_REFUSED, "refused", message))
    }

    fn not_listening(&self, error: &ureq::Error) -> Failure {
        Failure {
            code: NOT_LISTENING,
            ..self.no_answer(error)
        }
    }

    fn no_answer(&self, error: impl std::fmt::Display) -> Failure {
        let message = format!("daemon at {} did not answer: {error}", self.address);
        Failure::new(EXIT_NO_ANSWER, "no_answer", message)
    }
}

/// Reads the key from the file or the environment.
///
/// The key is not accepted as an argument, because other processes can see the command line.
fn read_credential(options: &Options) -> Result<Credential, Failure> {
    let (source, text) = if let Some(path) = &options.key_file {
        let text = fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
        (path.display().to_string(), text)
    } else {
        let text = env::var(KEY_VARIABLE).map_err(|_not_set| {
            Failure::usage(format!(
                "no key: give `--key-file FILE` or set {KEY_VARIABLE}"
            ))
        })?;
        (KEY_VARIABLE.to_owned(), text)
    };
    Credential::parse(&text)
        .ok_or_else(|| Failure::usage(format!("key in {source} is not usable; {KEY_FORMAT}")))
}

fn unreadable(path: &std::path::Path, error: &io::Error) -> Failure {
    let message = format!("{}: cannot be read: {error}", path.display());
    Failure::new(EXIT_UNREADABLE_FILE, "unreadable_file", message)
}
