use std::collections::HashMap;
use std::net::IpAddr;

use crate::Instant;

/// A caller's connection without a request in progress, which may be closed for a new one.
///
/// Load addressed: callers that hold all connections that are allowed and send nothing on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionChoice {
    /// Address of the client.
    pub client: IpAddr,
    /// Whether a request was received on the connection.
    pub has_sent_request: bool,
    /// When the connection was opened.
    pub opened_at: Instant,
}

impl ConnectionChoice {
    /// Returns the index of the connection to close: one without any request so far before others, from
    /// the client with most of them, the oldest first.
    #[must_use]
    pub fn choose(connections: &[Self]) -> Option<usize> {
        let mut by_client: HashMap<IpAddr, usize> = HashMap::new();
        for connection in connections {
            *by_client.entry(connection.client).or_default() += 1;
        }
        let rank = |it: &Self| {
            let count = by_client.get(&it.client).copied().unwrap_or_default();
            (it.has_sent_request, std::cmp::Reverse(count), it.opened_at)
        };
        (0..connections.len()).min_by_key(|index| rank(&connections[*index]))
    }
}
