use ragwortgrade_schema::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Format of the encoding.
const VERSION: u8 = 1;
/// Bytes before the entries: version and flags.
const HEADER_BYTES: usize = 2;
/// Bytes of an entry: number of the service and four rates.
const ENTRY_BYTES: usize = 16;
/// Maximum number of services in a report.
const SERVICES_MAX: usize = 12;
/// Maximum size of an encoded report, a fraction of a load update.
pub const REPORT_BYTES_MAX: usize = HEADER_BYTES + SERVICES_MAX * ENTRY_BYTES;
/// Rates of tokens and engine time are rounded to this unit, and saturate at 65,535 of it for
/// requests.
const REQUESTS_UNIT: f64 = 0.01;

/// Rates of a service, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Prefill of tokens that are not cached, in ms of an engine of reference speed.
    pub prefill_ms: f64,
    /// Output tokens.
    pub output_tokens: f64,
    /// Requests.
    pub requests: f64,
    /// Requests among them that were refused.
    pub refused: f64,
}

/// Demand at one daemon for the services of which the number of workers is decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandReport {
    /// Rates by number of the service.
    services: Vec<(u32, ServiceDemand)>,
    /// Whether services were left out.
    is_cut: bool,
}

impl ServiceDemand {
    /// Adds the demand at another daemon.
    pub(super) fn add(&mut self, other: &Self) {
        self.prefill_ms += other.prefill_ms;
        self.output_tokens += other.output_tokens;
        self.requests += other.requests;
        self.refused += other.refused;
    }

    /// Returns the demand if all daemons had the average demand of those that reported.
    pub(super) fn scaled(&self, factor: f64) -> Self {
        Self {
            prefill_ms: self.prefill_ms * factor,
            output_tokens: self.output_tokens * factor,
            requests: self.requests * factor,
            refused: self.refused * factor,
        }
    }
}

impl DemandReport {
    pub(super) fn new(demands: &[(&Name, ServiceDemand)]) -> Self {
        let kept = demands.iter().take(SERVICES_MAX);
        Self {
            services: kept.map(|(name, demand)| (number(name), *demand)).collect(),
            is_cut: demands.len() > SERVICES_MAX,
        }
    }

    /// Returns the rates of a service; `None` if the report says nothing of it.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<ServiceDemand> {
        let number = number(name);
        let entry = self.services.iter().find(|(it, _)| *it == number);
        entry.map(|(_, demand)| *demand)
    }

    /// Returns the report in at most [`REPORT_BYTES_MAX`] bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION, u8::from(self.is_cut)];
        for (number, demand) in &self.services {
            bytes.extend(number.to_le_bytes());
            bytes.extend((demand.prefill_ms.ceil() as u32).to_le_bytes());
            bytes.extend((demand.output_tokens.ceil() as u32).to_le_bytes());
            for requests in [demand.requests, demand.refused] {
                bytes.extend(((requests / REQUESTS_UNIT).round() as u16).to_le_bytes());
            }
        }
        bytes
    }

    /// Parses an encoded report; `None` if it is malformed.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (header, entries) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        let is_whole = entries.len().is_multiple_of(ENTRY_BYTES);
        if header[0] != VERSION || !is_whole || bytes.len() > REPORT_BYTES_MAX {
            return None;
        }
        let parse = |entry: &[u8]| {
            let word = |at: usize| u32::from_le_bytes(std::array::from_fn(|i| entry[at + i]));
            let requests = |at: usize| {
                f64::from(u16::from_le_bytes([entry[at], entry[at + 1]])) * REQUESTS_UNIT
            };
            let demand = ServiceDemand {
                prefill_ms: f64::from(word(4)),
                output_tokens: f64::from(word(8)),
                requests: requests(12),
                refused: requests(14),
            };
            (word(0), demand)
        };
        Some(Self {
            services: entries.chunks_exact(ENTRY_BYTES).map(parse).collect(),
            is_cut: header[1] != 0,
        })
    }
}

/// Returns the number that stands for a service in reports.
fn number(service: &Name) -> u32 {
    xxh3_64(service.as_bytes()) as u32
}
