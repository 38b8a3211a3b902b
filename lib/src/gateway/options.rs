use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ragwortgrade_policy::gateway::{Catalog, Endpoint, Speed};
use ragwortgrade_schema::Name;

use super::duties::DutyOptions;
use super::{CallerLimits, Dialect, Store};

/// Start options of a gateway.
#[derive(Clone, Debug)]
pub struct Options {
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
    /// Maximum ratio of retries to requests of a service on this daemon.
    pub retry_ratio: f64,
    /// Retries per 10 s that are allowed for a service at low request rates.
    pub retries_min: u32,
    /// Time limit of a drain.
    pub drain_timeout: Duration,
    /// Maximum time for which a change of the configuration may be unknown.
    pub configuration_bound: Duration,
    /// Interval between reads of registrations, so that changes are read in batches.
    pub registration_read_interval: Duration,
    /// Time after which a read of the store that has got no response is repeated.
    pub read_timeout: Duration,
    /// Maximum number of callers' connections.
    pub connections_max: usize,
    /// Limits on what callers may hold of the machine.
    pub caller_limits: CallerLimits,
    /// Bytes per second that this daemon may send to other daemons.
    pub peer_bytes_per_second: f64,
    /// Speeds of the engines.
    pub speed: Speed,
    /// Options of the duties, if any run.
    pub duties: Option<DutyOptions>,
    /// Translation of HTTP messages.
    pub dialect: Rc<dyn Dialect>,
    /// Store of the configuration and the registrations.
    pub store: Rc<dyn Store>,
    /// Keys and parsers of the documents in the store.
    pub documents: Rc<dyn DocumentFormat>,
}

/// Keys and parsers of the documents in the store.
pub trait DocumentFormat: std::fmt::Debug {
    /// Key of the operators' configuration.
    fn catalog_key(&self) -> &'static str;

    /// Prefix of the keys of registrations; the rest of a key is the endpoint's ID.
    fn endpoints_prefix(&self) -> &'static str;

    /// Parses the operators' configuration; `previous` is the one in force, if there is one, of
    /// which parts that have not changed are reused. Messages of errors contain no keys.
    ///
    /// # Errors
    ///
    /// Fails with a message that names what cannot be parsed.
    fn parse_catalog(&self, value: &Bytes, previous: Option<&Catalog>) -> Result<Catalog, String>;

    /// Parses an endpoint's registration.
    ///
    /// # Errors
    ///
    /// Fails with a message that names what cannot be parsed; such an entry is not a usable
    /// endpoint.
    fn parse_endpoint(&self, id: &str, value: &Bytes) -> Result<Endpoint, String>;
}
