use std::net::SocketAddr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use super::Store;

/// A small deployment: one route to a plain service under `/safe/` and one to engines under `/talk/`,
/// both of the host `shop.example`, with a time limit of 20 s.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
}

impl Example {
    /// Header that marks the response of a worker as its own.
    pub const SIGNATURE: (&str, &str) = ("X-Response-Seal", "seal");
    /// Header of a request to the engines: tokens of the prompt and of the output.
    pub const PROMPT: (&str, &str) = ("X-Token-Counts", "10,100000");

    /// Writes the configuration to the store.
    pub fn configure(&self, store: &Store) {
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": "shop.example", "prefix": format!("/{name}/"),
                "routeType": kind, "timeoutMs": 20_000, "targetLatencyMs": 20_000, "priority": 1,
                "service": service, "maxAttempts": 2, "gapAimMs": 250,
            })
        };
        let mut engines = json!({"name": "engines", "healthPath": "/h", "maxConnections": 200});
        engines["engine"] = json!({"slots": 100, "kvTokens": 10_000_000, "kvTokenBytes": 1000,
                                   "linkMbps": 1000, "stride": 10, "handleTtlS": 5});
        let document = json!({
            "version": 1,
            "routes": [route("safe", "safe", "plain"), route("talk", "stream", "engines")],
            "services": [{"name": "plain", "healthPath": "/h", "maxConnections": 200}, engines],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": self.body_bytes_max,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        });
        write(store, "op/config", &document.to_string());
    }

    /// Registers a worker of the plain service and one of the engines at the same address.
    pub fn register(&self, store: &Store, address: SocketAddr) {
        for (id, service, stage) in [
            ("plain-1", "plain", None),
            ("engine-1", "engines", Some("decode")),
        ] {
            let entry = json!({
                "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
                "slots": 100, "state": "ready", "coldRemainingMs": 0, "stage": stage, "sequence": 0,
            });
            write(store, &format!("servers/{id}"), &entry.to_string());
        }
    }
}

fn write(store: &Store, key: &str, text: &str) {
    store.write(key, &STANDARD.encode(text));
}
