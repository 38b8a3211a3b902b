use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::settings::Reader;
use crate::settings::Problem;

/// Settings of the duties, from the INI section `[gateway]`; present if `duties_address` is.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Address of the platform's duty interface.
    pub address: SocketAddr,
    /// Duties that run.
    pub duties: Vec<Duty>,
    /// Duty calls per second that the platform accepts from all daemons together.
    pub calls_per_second: f64,
    /// Whether the platform checks fencing tokens.
    pub is_fencing_required: bool,
    /// Time within which a former holder must not act after another one; a holder is replaced within
    /// this time and 2 s.
    pub lease_time: Duration,
    /// Time that a resumed process may act before it notices its suspension.
    pub thaw: Duration,
    /// Length of a window of the usage reports.
    pub usage_window: Duration,
    /// Time after the end of a window at which its report is due.
    pub usage_late: Duration,
}

/// Kind of duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Usage reports.
    Usage,
    /// Orders of workers.
    Scale,
}

impl Duty {
    /// Returns the duty that a settings file calls `name`.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "usage" => Some(Self::Usage),
            "scale" => Some(Self::Scale),
            _ => None,
        }
    }
}

impl DutySettings {
    /// Reads the settings of the duties; without an address, none run.
    ///
    /// The template fills in the other settings also where there is no address; they are not checked
    /// then.
    pub(in crate::gateway) fn read(reader: &mut Reader) -> Option<Self> {
        let address = reader.optional("duties_address", "an address such as 10.0.0.1:85");
        if address.is_none() {
            reader.ignore(&Self::KEYS);
        }
        let names: Option<String> = reader.optional("duties", "a list such as usage,scale");
        let duties = names.map(|names| read_duties(reader, &names));
        let calls_per_second = reader.defaulted("duty_calls_per_second", Self::CALLS_PER_SECOND);
        let is_fencing_required = reader.optional("duty_fencing_required", "true or false");
        let lease_ms = reader.defaulted("duty_lease_ms", Self::LEASE_MS);
        let thaw_ms = reader.defaulted("duty_thaw_ms", Self::THAW_MS);
        let window_seconds = reader.defaulted("usage_window_seconds", Self::WINDOW_SECONDS);
        let late_seconds = reader.defaulted("usage_late_seconds", Self::LATE_SECONDS);
        Some(Self {
            address: address?,
            duties: duties.unwrap_or_else(|| vec![Duty::Usage, Duty::Scale]),
            calls_per_second,
            is_fencing_required: is_fencing_required.unwrap_or(false),
            lease_time: Duration::from_secs_f64(lease_ms / 1e3),
            thaw: Duration::from_secs_f64(thaw_ms / 1e3),
            usage_window: Duration::from_millis((window_seconds * 1e3).round() as u64),
            usage_late: Duration::from_secs_f64(late_seconds),
        })
    }

    /// Settings that are optional beside the address.
    const KEYS: [&str; 7] = [
        "duties",
        "duty_calls_per_second",
        "duty_fencing_required",
        "duty_lease_ms",
        "duty_thaw_ms",
        "usage_window_seconds",
        "usage_late_seconds",
    ];
    /// Default and range of `duty_calls_per_second`.
    const CALLS_PER_SECOND: (f64, f64, f64) = (50.0, 1.0, 10_000.0);
    /// Default and range of `duty_lease_ms`. Below the minimum, the lease leaves no time for calls to
    /// a slow store, which take 200 ms.
    const LEASE_MS: (f64, f64, f64) = (3_000.0, 2_000.0, 60_000.0);
    /// Default and range of `duty_thaw_ms`.
    const THAW_MS: (f64, f64, f64) = (300.0, 0.0, 5_000.0);
    /// Default and range of `usage_window_seconds`, a whole number of ms.
    const WINDOW_SECONDS: (f64, f64, f64) = (5.0, 1.0, 3_600.0);
    /// Default and range of `usage_late_seconds`.
    const LATE_SECONDS: (f64, f64, f64) = (10.0, 2.0, 3_600.0);
}

fn read_duties(reader: &mut Reader, names: &str) -> Vec<Duty> {
    let mut duties = Vec::new();
    for name in names.split(',').map(str::trim) {
        if let Some(duty) = Duty::from_name(name) {
            duties.push(duty);
        } else {
            let message = format!("`duties` has `{name}`; expected usage or scale");
            reader.problems.push(Problem::without_line(message));
        }
    }
    duties
}
