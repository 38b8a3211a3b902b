//! Benchmark of the latency that the daemon's callers' interface adds to the first token.
//!
//! Direct calls to a stand-in engine alternate with calls through the daemon in one run, so that
//! both are measured under the same load. Prints one JSON line with the medians.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortgrade_lib::endpoint::{HttpEngine, HttpPlainService};
use ragwortgrade_lib::front::{Front, ReplayBuffers};
use ragwortgrade_lib::membership::Endpoint;
use ragwortgrade_lib::peer::{Error, Peers};
use ragwortgrade_lib::platform::HttpKeyValue;
use ragwortgrade_lib::trial::Trials;
use ragwortgrade_lib::{Clients, Node};
use ragwortgrade_policy::event::{self, Event};
use ragwortgrade_schema::Name;
use ragwortgrade_schema::peer::{
    ClaimAnswer, ClaimOutcome, ClaimRequest, ConfigurationAnswer, Identity, Member, Settled,
    StreamAnswer, StreamRequest, Trial,
};
use ragwortgrade_standins::{Engine, EngineSettings};
use serde_json::json;

const ROUNDS: usize = 500;
const WARM_UP: usize = 50;
const ENGINE: &str = "engine";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let settings = EngineSettings {
        name: ENGINE.to_owned(),
        ..EngineSettings::default()
    };
    let engine = Engine::bind(settings)?;
    let front = open_front(engine.address())?;
    let mut direct = Connection::open(engine.address())?;
    let mut through = Connection::open(front.address())?;
    let (mut direct_times, mut through_times) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS + WARM_UP {
        let times = (direct.first_token(round)?, through.first_token(round)?);
        if round >= WARM_UP {
            direct_times.push(times.0);
            through_times.push(times.1);
        }
    }
    let (direct, through) = (median(direct_times), median(through_times));
    let micros = |time: Duration| time.as_micros();
    println!(
        "{}",
        json!({
            "rounds": ROUNDS,
            "direct_us_p50": micros(direct) as u64,
            "front_us_p50": micros(through) as u64,
            "added_us_p50": micros(through.saturating_sub(direct)) as u64,
        })
    );
    drop(front);
    engine.stop();
    Ok(())
}

/// A caller's persistent connection.
struct Connection {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let lines = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, lines })
    }

    /// Sends a short request, reads the complete answer, and returns the time to the first token.
    fn first_token(&mut self, round: usize) -> std::io::Result<Duration> {
        let body = json!({
            "model": "base", "stream": true, "max_tokens": 3,
            "messages": [{"role": "user", "content": format!("question {round}")}],
        })
        .to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: front\r\nX-Workspace: lab\r\n\
             X-Attempt-Id: {round:032x}\r\nX-Priority: 1\r\nX-Resume-From: 0\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let start = Instant::now();
        self.stream.write_all(request.as_bytes())?;
        let mut first = None;
        let mut line = String::new();
        loop {
            line.clear();
            if self.lines.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            if line.starts_with("data: {") && first.is_none() {
                first = Some(start.elapsed());
            }
            // The last chunk ends the answer.
            if line == "0\r\n" {
                self.lines.read_line(&mut line)?;
                return first.ok_or_else(|| std::io::ErrorKind::InvalidData.into());
            }
        }
    }
}

fn open_front(engine: SocketAddr) -> Result<Front, Box<dyn std::error::Error>> {
    let settings = serde_json::from_value(json!({
        "daemon": {
            "id": "d1", "data_centre": "a", "region": "r", "callers_address": "127.0.0.1:0",
            "peers_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        },
        "platform": {"key_value": "", "vm_list": ""},
        "peers": {"seeds": []},
        "keys": {"peer": {}, "peer_active": "k", "operator": {}},
        "limits": {},
        "observe": {},
    }))?;
    let clients = Clients {
        key_value: Arc::new(HttpKeyValue::open("http://127.0.0.1:1")),
        engines: Arc::new(HttpEngine::open()),
        plain_services: Arc::new(HttpPlainService::open()),
    };
    let node = Arc::new(Node::open(settings, 1, clients));
    let configuration = serde_json::from_value(json!({
        "header": {"revision": 1, "apply_id": "x", "author": "x"},
        "models": {"base": {"versions": ["1"], "floor": 1, "weight_bytes": 1}},
        "adapters": {}, "services": {}, "endpoints": {},
        "workspaces": {
            "lab": {"services": [], "requests_per_second": 1e9, "tokens_per_second": 1e9},
        },
        "policy": {"role_change_weight": 1.0},
    }))?;
    node.configuration.store(Some(Arc::new(configuration)));
    let load = node.engines.load(&engine.to_string())?;
    let endpoint = Endpoint {
        id: Name::from(ENGINE),
        data_centre: Name::from("a"),
        address: engine.to_string(),
        service: None,
        incarnation: load.incarnation,
        leaving: false,
    };
    node.observe(Event::Joined(event::Endpoint {
        id: endpoint.id.clone(),
        data_centre: endpoint.data_centre.clone(),
        service: None,
    }));
    node.directory.put(endpoint);
    let observed = node.clock.now();
    node.observe(Event::Reported { load, observed });
    let (replay_buffers, trials) = (
        Arc::new(ReplayBuffers::default()),
        Arc::new(Trials::default()),
    );
    Ok(Front::bind(
        node,
        Arc::new(NoPeers),
        replay_buffers,
        trials,
    )?)
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}

/// Stub of the connections to other daemons: there are none, and every call fails.
#[derive(Debug)]
struct NoPeers;

fn unknown<A>(daemon: &str) -> Result<A, Error> {
    Err(Error::Unknown {
        daemon: daemon.to_owned(),
    })
}

impl Peers for NoPeers {
    fn members(&self) -> Vec<Member> {
        Vec::new()
    }

    fn claim(&self, daemon: &Name, _request: &ClaimRequest) -> Result<ClaimAnswer, Error> {
        unknown(daemon)
    }

    fn settle(&self, daemon: &Name, _outcome: &ClaimOutcome) -> Result<Settled, Error> {
        unknown(daemon)
    }

    fn stream(&self, daemon: &Name, _request: &StreamRequest) -> Result<StreamAnswer, Error> {
        unknown(daemon)
    }

    fn reserve_trial(&self, daemon: &Name, _trial: &Trial) -> Result<bool, Error> {
        unknown(daemon)
    }

    fn identity(&self, address: &str) -> Result<Identity, Error> {
        unknown(address)
    }

    fn configuration(&self, daemon: &Name, _since: u64) -> Result<ConfigurationAnswer, Error> {
        unknown(daemon)
    }
}
