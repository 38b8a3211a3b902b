use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;
use ragwortgrade_operator::ini;
use ragwortgrade_policy::gateway::MemoryPlan;
use ragwortgrade_schema::Name;

use super::CallerLimits;
use super::duties::DutySettings;
use crate::settings::{Problem, Problems};

const SECTION: &str = "gateway";
/// Memory of the smallest machines.
const MEMORY_MB_DEFAULT: f64 = 120.0;
/// Time without any byte of a body; a lost packet and its repetition delay bytes for about 1 s.
const BODY_IDLE_MS_DEFAULT: f64 = 3_000.0;
/// Time for a whole body; the largest one (4 MiB) takes 3.4 s on the slowest link (10 Mbit/s).
const BODY_TIMEOUT_MS_DEFAULT: f64 = 10_000.0;
/// Default, minimum and maximum time until a change of the configuration is in force.
const CONFIGURATION_BOUND_MS: (f64, f64, f64) = (2_000.0, 500.0, 60_000.0);
/// Time for which a caller reads nothing; callers read events as they arrive.
const UNREAD_TIMEOUT_MS_DEFAULT: f64 = 10_000.0;

/// Settings of a gateway, from the INI section `[gateway]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub name: Name,
    /// Data centre of this daemon.
    pub data_centre: Name,
    /// Listening address for callers.
    pub callers_address: SocketAddr,
    /// Listening address for the load balancer's readiness probes.
    pub readiness_address: SocketAddr,
    /// UDP address on which load updates of other daemons are received.
    pub peers_address: SocketAddr,
    /// Listening address for metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the key-value store.
    pub store_address: SocketAddr,
    /// Maximum ratio of retries to requests of a service, over all daemons.
    pub retry_ratio: f64,
    /// Maximum time for which an endpoint may still get requests after it has started to drain.
    pub leaving_bound: Duration,
    /// Maximum time after which a change of the configuration must be in force.
    pub configuration_bound: Duration,
    /// Time limit of a drain.
    pub drain_timeout: Duration,
    /// Maximum number of open files of the process; callers' connections may use half of them, if the
    /// memory suffices.
    pub open_files_max: usize,
    /// Limits on what callers may hold of the machine, of which `memory_mb` is the memory.
    pub caller_limits: CallerLimits,
    /// Bandwidth of the VM's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Settings of the duties, if any run.
    pub duties: Option<DutySettings>,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, each with its line if it has one.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, path),
            Err(error) => {
                let problem = Problem::without_line(format!("cannot be read: {error}"));
                Err(Problems::new(path, vec![problem]))
            }
        }
    }

    /// Parses and checks the text of a settings file; `path` is used only in messages.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text, each with its line if it has one.
    pub fn parse(text: &str, path: &Path) -> Result<Self, Problems> {
        let mut reader = Reader::new(text);
        let settings = reader.settings();
        reader.reject_unknown();
        match settings {
            Some(settings) if reader.problems.is_empty() => Ok(settings),
            _ => Err(Problems::new(path, reader.problems)),
        }
    }
}

pub(super) struct Reader {
    values: HashMap<String, ini::Property>,
    pub(super) problems: Vec<Problem>,
}

impl Reader {
    fn new(text: &str) -> Self {
        let (sections, syntax) = ini::read(text);
        let mut problems: Vec<Problem> = syntax.into_iter().map(Problem::from).collect();
        let mut values = HashMap::new();
        for section in sections {
            if section.heading != SECTION {
                let message = format!("section `[{}]` is unknown", section.heading);
                problems.push(Problem::at(section.line, message));
                continue;
            }
            for mut property in section.properties {
                // A platform that does not know a field leaves its placeholder as it is.
                if property.value.starts_with("{{") && property.value.ends_with("}}") {
                    property.value.clear();
                }
                values.insert(property.key.clone(), property);
            }
        }
        Self { values, problems }
    }

    fn settings(&mut self) -> Option<Settings> {
        let name = self.name("name");
        let data_centre = self.name("data_centre");
        let callers_address = self.parsed("callers_address", "an address such as 10.0.0.1:80");
        let readiness_address = self.parsed("readiness_address", "an address such as 10.0.0.1:81");
        let peers_address = self.parsed("peers_address", "an address such as 10.0.0.1:84");
        let metrics_address = self.optional("metrics_address", "an address such as 10.0.0.1:82");
        let store_address = self.parsed("store_address", "an address such as 10.0.0.1:83");
        let retry_ratio = self.bounded("retry_ratio", 0.0, 1.0);
        let leaving_bound = self.bounded("leaving_bound_ms", 100.0, 60_000.0);
        let configuration_bound = self.defaulted("configuration_bound_ms", CONFIGURATION_BOUND_MS);
        let drain_timeout = self.bounded("stop_timeout_seconds", 1.0, 600.0);
        let open_files_max = self.parsed("open_files_max", "a whole number");
        let caller_limits = self.caller_limits();
        let link_mbps = self.bounded("link_mbps", 0.1, 1e6);
        let duties = DutySettings::read(self);
        let log_level = self.parsed("log_level", "error, warn, info, debug or trace");
        Some(Settings {
            name: name?,
            data_centre: data_centre?,
            callers_address: callers_address?,
            readiness_address: readiness_address?,
            peers_address: peers_address?,
            metrics_address,
            store_address: store_address?,
            retry_ratio: retry_ratio?,
            leaving_bound: Duration::from_secs_f64(leaving_bound? / 1e3),
            configuration_bound: Duration::from_secs_f64(configuration_bound / 1e3),
            drain_timeout: Duration::from_secs_f64(drain_timeout?),
            open_files_max: open_files_max?,
            caller_limits: caller_limits?,
            link_mbps: link_mbps?,
            duties,
            log_level: log_level?,
        })
    }

    fn caller_limits(&mut self) -> Option<CallerLimits> {
        let memory_mb = self.bounded_or("memory_mb", 64.0, 1e6, MEMORY_MB_DEFAULT);
        let body_idle = self.bounded_or("body_idle_ms", 200.0, 60_000.0, BODY_IDLE_MS_DEFAULT);
        let body_timeout =
            self.bounded_or("body_timeout_ms", 1e3, 600_000.0, BODY_TIMEOUT_MS_DEFAULT);
        let unread_timeout = self.bounded_or(
            "unread_timeout_ms",
            1e3,
            600_000.0,
            UNREAD_TIMEOUT_MS_DEFAULT,
        );
        Some(CallerLimits {
            memory: MemoryPlan::new(memory_mb? as usize),
            body_idle: Duration::from_secs_f64(body_idle? / 1e3),
            body_timeout: Duration::from_secs_f64(body_timeout? / 1e3),
            unread_timeout: Duration::from_secs_f64(unread_timeout? / 1e3),
        })
    }

    fn name(&mut self, key: &str) -> Option<Name> {
        let property = self.required(key)?;
        if property.value.is_empty() {
            self.reject(&property, "a name");
            return None;
        }
        Some(property.value.as_str().into())
    }

    fn parsed<T: std::str::FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let property = self.required(key)?;
        self.parse(&property, expected)
    }

    pub(super) fn optional<T: std::str::FromStr>(
        &mut self,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        let property = self.values.remove(key)?;
        if property.value.is_empty() {
            return None;
        }
        self.parse(&property, expected)
    }

    /// Skips settings that have no effect.
    pub(super) fn ignore(&mut self, keys: &[&str]) {
        for key in keys {
            self.values.remove(*key);
        }
    }

    /// Reads an optional number, given its default and range.
    pub(super) fn defaulted(&mut self, key: &str, (default, min, max): (f64, f64, f64)) -> f64 {
        let is_absent = |property: &ini::Property| property.value.is_empty();
        if self.values.get(key).is_none_or(is_absent) {
            self.values.remove(key);
            return default;
        }
        self.bounded(key, min, max).unwrap_or(default)
    }

    /// Returns a number, or the default if the key is missing or has no value.
    fn bounded_or(&mut self, key: &str, min: f64, max: f64, default: f64) -> Option<f64> {
        match self.values.remove(key) {
            Some(property) if !property.value.is_empty() => self.check(&property, min, max),
            _ => Some(default),
        }
    }

    fn bounded(&mut self, key: &str, min: f64, max: f64) -> Option<f64> {
        let property = self.required(key)?;
        self.check(&property, min, max)
    }

    fn check(&mut self, property: &ini::Property, min: f64, max: f64) -> Option<f64> {
        let expected = format!("a number from {min} to {max}");
        let number: f64 = self.parse(property, &expected)?;
        if !(min..=max).contains(&number) {
            self.reject(property, &expected);
            return None;
        }
        Some(number)
    }

    fn parse<T: std::str::FromStr>(
        &mut self,
        property: &ini::Property,
        expected: &str,
    ) -> Option<T> {
        let parsed = property.value.parse().ok();
        if parsed.is_none() {
            self.reject(property, expected);
        }
        parsed
    }

    fn required(&mut self, key: &str) -> Option<ini::Property> {
        let property = self.values.remove(key);
        if property.is_none() {
            let message = format!("`{key}` is missing in section `[{SECTION}]`");
            self.problems.push(Problem::without_line(message));
        }
        property
    }

    fn reject(&mut self, property: &ini::Property, expected: &str) {
        let message = format!(
            "`{}` is `{}`; expected {expected}",
            property.key, property.value
        );
        self.problems.push(Problem::at(property.line, message));
    }

    fn reject_unknown(&mut self) {
        for (key, property) in self.values.drain() {
            let message = format!("key `{key}` is unknown in section `[{SECTION}]`");
            self.problems.push(Problem::at(property.line, message));
        }
    }
}
