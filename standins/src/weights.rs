//! Stand-in for the weight store.

mod weights_settings;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

pub use self::weights_settings::WeightsSettings;
use crate::Error;
use crate::control_server::ControlServer;
use crate::token_bucket::TokenBucket;

/// Weight store that limits the rate of fetches.
#[derive(Debug)]
pub struct Weights {
    server: ControlServer,
}

/// Response to a fetch: the size of the weights, and how long the engine simulates copying them.
#[derive(Deserialize, Serialize)]
pub(crate) struct Fetch {
    pub(crate) bytes: u64,
    pub(crate) ms: u64,
}

impl Weights {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub fn bind(settings: WeightsSettings) -> Result<Self, Error> {
        let bucket = Arc::new(Mutex::new(TokenBucket::open(settings.fetches_per_second)));
        let address = settings.address.clone();
        let server =
            ControlServer::bind(&address, move |request| handle(&settings, &bucket, request))?;
        Ok(Self { server })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the server.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

fn handle(settings: &WeightsSettings, bucket: &Mutex<TokenBucket>, request: &Request) -> Response {
    if !request.url().starts_with("/weights/") {
        return Response::empty_404();
    }
    let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
    if !bucket.take(1.0, Instant::now()) {
        return Response::text("{}").with_status_code(429);
    }
    Response::json(&Fetch {
        bytes: settings.bytes,
        ms: settings.fetch_ms,
    })
}
