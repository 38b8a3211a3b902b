use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{
    BufferedUdpMetricSink, Counted as _, Gauged as _, NopMetricSink, StatsdClient, Timed as _,
};
use ragwortgrade_schema::settings::Observe;

use super::{Error, Registry};

const PREFIX: &str = "ragwortgrade";

/// Client with which the components of a daemon or a gateway report metrics.
///
/// A daemon sends them as `StatsD` datagrams; a gateway records them in a [`Registry`]. A lost
/// datagram or an unreachable sink must not affect serving, so the methods ignore errors.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Opens the configured sink; without one, metrics are dropped.
    ///
    /// # Errors
    ///
    /// Fails when no UDP socket can be opened or the address is invalid.
    pub fn open(settings: &Observe) -> Result<Self, Error> {
        let Some(address) = &settings.metrics_address else {
            return Ok(Self::none());
        };
        let local = if address.starts_with('[') {
            "[::]:0"
        } else {
            "0.0.0.0:0"
        };
        let socket = UdpSocket::bind(local).map_err(Error::Socket)?;
        socket.set_nonblocking(true).map_err(Error::Socket)?;
        let sink =
            BufferedUdpMetricSink::from(address.as_str(), socket).map_err(|error| Error::Sink {
                address: address.clone(),
                reason: error.to_string(),
            })?;
        Ok(Self::from_client(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Returns a client that drops every metric.
    #[must_use]
    pub fn none() -> Self {
        Self::from_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Returns a client that records metrics in this process, and the registry that holds them.
    #[must_use]
    pub fn with_registry() -> (Self, Registry) {
        let registry = Registry::default();
        let client = StatsdClient::from_sink(PREFIX, registry.clone());
        (Self::from_client(client), registry)
    }

    fn from_client(client: StatsdClient) -> Self {
        Self {
            client: Arc::new(client),
        }
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, name: &str, amount: u64) {
        drop(self.client.count(name, amount as i64));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.client.gauge(name, value));
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, millis: u64) {
        drop(self.client.time(name, millis));
    }

    /// Sends buffered metrics; called after each round of gossip, which is about once a second.
    pub fn flush(&self) {
        drop(self.client.flush());
    }
}
