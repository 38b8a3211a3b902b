use std::cell::RefCell;
use std::env;
use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use ragwortgrade_schema::Name;
use ragwortgrade_schema::platform::{Vm, VmKind, VmState, Write};
use ragwortgrade_standins::deployment::{Declaration, free_address};
use ragwortgrade_standins::{
    Caller, Engine, EngineSettings, KeyValue, KeyValueSettings, VmList, VmListSettings,
};
use tempfile::TempDir;

use crate::sample::Sample;

const DATA_CENTRE: &str = "a";
const PEER_KEY: &str = "6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b";
const OPERATOR_KEY: &str = "6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f6f";

/// One data centre: daemons as child processes, and the platform and engines as stand-ins in this
/// process.
pub struct Fleet {
    daemons: Vec<Daemon>,
    key_value: KeyValue,
    _engines: Vec<Engine>,
    _list: VmList,
    _directory: TempDir,
}

struct Daemon {
    process: RefCell<Child>,
    gauges: UdpSocket,
    last_sample: RefCell<Sample>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let process = self.process.get_mut();
        drop(process.kill());
        drop(process.wait());
    }
}

impl Fleet {
    /// Starts a data centre with the given numbers of daemons and engines.
    pub fn spawn(daemons: usize, engines: usize) -> Result<Self, Box<dyn Error>> {
        let directory = TempDir::new()?;
        let engines = (0..engines).map(engine).collect::<Result<Vec<_>, _>>()?;
        let vms = engines
            .iter()
            .enumerate()
            .map(|(index, engine)| vm(index, engine))
            .collect();
        let list = VmList::bind(VmListSettings {
            vms,
            ..VmListSettings::default()
        })?;
        let key_value = KeyValue::bind(&KeyValueSettings::default())?;
        let platform = (key_value.address().to_string(), list.address().to_string());
        let peers = (0..daemons)
            .map(|_| free_address())
            .collect::<Result<Vec<_>, _>>()?;
        // Without a configuration, daemons would keep requesting one from each other, which would
        // distort the measured traffic.
        let write = Write {
            expect: 0,
            key: "configuration".to_owned(),
            lease: None,
            value: Some(
                Declaration {
                    revision: 1,
                    ..Declaration::standard()
                }
                .to_string(),
            ),
        };
        Caller::open().write(key_value.address(), &write)?;
        let daemons = (0..daemons)
            .map(|index| Daemon::spawn(directory.path(), index, &peers, &platform))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            daemons,
            key_value,
            _engines: engines,
            _list: list,
            _directory: directory,
        })
    }

    /// Reads a sample of every daemon; fails if a daemon has exited.
    pub fn samples(&self) -> io::Result<Vec<Sample>> {
        let sample = |daemon: &Daemon| {
            if daemon.process.borrow_mut().try_wait()?.is_some() {
                return Err(io::Error::other("a daemon exited during the measurement"));
            }
            let last_sample = *daemon.last_sample.borrow();
            let sample = Sample::read(daemon.process.borrow().id(), &daemon.gauges, &last_sample)?;
            daemon.last_sample.replace(sample);
            Ok(sample)
        };
        self.daemons.iter().map(sample).collect()
    }

    /// Returns the number of calls that the key-value service has received, including those beyond
    /// its rate limits.
    pub fn platform_calls(&self) -> u64 {
        let url = format!("http://{}/debug/counts", self.key_value.address());
        let counts = ureq::get(url)
            .call()
            .ok()
            .and_then(|mut answer| answer.body_mut().read_json::<serde_json::Value>().ok());
        let count = |name: &str| counts.as_ref().and_then(|counts| counts[name].as_u64());
        count("reads").unwrap_or_default() + count("writes").unwrap_or_default()
    }
}

impl Daemon {
    fn spawn(
        directory: &Path,
        index: usize,
        peers: &[SocketAddr],
        platform: &(String, String),
    ) -> Result<Self, Box<dyn Error>> {
        let gauges = UdpSocket::bind("127.0.0.1:0")?;
        gauges.set_nonblocking(true)?;
        let file = directory.join(format!("{index}.ini"));
        fs::write(
            &file,
            settings(index, peers, platform, &gauges.local_addr()?.to_string())?,
        )?;
        let process = Command::new(daemon_program()?)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self {
            process: RefCell::new(process),
            gauges,
            last_sample: RefCell::default(),
        })
    }
}

fn settings(
    index: usize,
    peers: &[SocketAddr],
    (key_value, vm_list): &(String, String),
    metrics: &str,
) -> Result<String, std::fmt::Error> {
    // Three seeds, as in a usual deployment; daemons learn the other members by gossip.
    let seeds: Vec<String> = peers.iter().take(3).map(ToString::to_string).collect();
    let mut text = String::new();
    writeln!(
        text,
        "[daemon]\nid = daemon-{index}\ndata_centre = {DATA_CENTRE}\nregion = r"
    )?;
    writeln!(
        text,
        "callers_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0"
    )?;
    writeln!(text, "peers_address = {}", peers[index])?;
    writeln!(
        text,
        "[platform]\nkey_value = http://{key_value}\nvm_list = http://{vm_list}"
    )?;
    writeln!(text, "[peers]\nseeds = {}", seeds.join(", "))?;
    writeln!(text, "[keys]\npeer.k1 = {PEER_KEY}\npeer_active = k1")?;
    writeln!(text, "operator.o1 = {OPERATOR_KEY}")?;
    writeln!(
        text,
        "[observe]\nlog_level = warn\nmetrics_address = {metrics}"
    )?;
    Ok(text)
}

fn engine(index: usize) -> Result<Engine, ragwortgrade_standins::Error> {
    let name = format!("engine-{index}");
    Engine::bind(EngineSettings {
        name,
        ..EngineSettings::default()
    })
}

fn vm(index: usize, engine: &Engine) -> Vm {
    Vm {
        id: Name::from(format!("engine-{index}")),
        kind: VmKind::Engine,
        data_centre: Name::from(DATA_CENTRE),
        address: engine.address().to_string(),
        peers_address: None,
        service: None,
        state: VmState::Live,
        incarnation: 1,
    }
}

/// Returns the path of the daemon's program, built in the same target directory as this example.
fn daemon_program() -> io::Result<std::path::PathBuf> {
    let example = env::current_exe()?;
    let profile = example
        .parent()
        .and_then(Path::parent)
        .unwrap_or(Path::new("."));
    Ok(profile.join("ragwortgrade"))
}
