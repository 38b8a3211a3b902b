use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::de::{Deserialize, Deserializer, Error, Visitor};
use serde::ser::{Serialize, Serializer};

use crate::Row;

/// Loads of the engines of one data centre at one time, exchanged between daemons by gossip.
///
/// Serialized as the Base64 text of a binary encoding instead of by derived code: a row takes about
/// 150 bytes as a JSON object, which at 91 engines per data centre would exceed a daemon's budget
/// of 9 KB/s for control traffic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Time to which the ages of the rows refer, in milliseconds of the sender's monotonic clock.
    pub at_ms: u64,
    /// One row for each engine with a recent load report, even if its load has not changed. In
    /// requests of gossip, only draining engines have rows.
    pub rows: Vec<Row>,
}

impl Digest {
    /// Maximum number of rows accepted from a peer; bounds memory use if a sender is faulty.
    pub const MAX_ROWS: usize = 4_096;

    const TIMESTAMP_BYTES: usize = 8;

    fn to_wire(&self) -> Vec<u8> {
        let mut wire =
            Vec::with_capacity(Self::TIMESTAMP_BYTES + self.rows.len() * Row::WIRE_BYTES);
        wire.extend_from_slice(&self.at_ms.to_be_bytes());
        for row in &self.rows {
            row.encode(&mut wire);
        }
        wire
    }

    fn from_wire(wire: &[u8]) -> Option<Self> {
        let (timestamp, rows) = wire.split_first_chunk::<{ Self::TIMESTAMP_BYTES }>()?;
        let (chunks, rest) = rows.as_chunks::<{ Row::WIRE_BYTES }>();
        if !rest.is_empty() || chunks.len() > Self::MAX_ROWS {
            return None;
        }
        Some(Self {
            at_ms: u64::from_be_bytes(*timestamp),
            rows: chunks.iter().map(Row::decode).collect::<Option<_>>()?,
        })
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(self.to_wire()))
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(DigestVisitor)
    }
}

struct DigestVisitor;

impl Visitor<'_> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a digest in base64")
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Digest, E> {
        let wire = STANDARD_NO_PAD.decode(v).map_err(E::custom)?;
        Digest::from_wire(&wire).ok_or_else(|| E::custom("digest has a wrong length or role"))
    }
}
