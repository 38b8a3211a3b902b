//! Stand-in for a model engine.

mod answer;
mod batch;
mod cache_log;
mod completion;
mod engine_fault;
mod engine_settings;
mod kv_cache;
mod order_audit;
mod order_record;
mod orders;
mod sequence;
mod service;
mod shared;
mod state;
mod work_counters;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

pub use self::answer::answer_token;
pub use self::engine_fault::EngineFault;
pub use self::engine_settings::EngineSettings;
pub use self::order_audit::OrderAudit;
pub use self::order_record::OrderRecord;
use self::shared::Shared;
pub use self::work_counters::WorkCounters;
use crate::Error;
use crate::http_server::HttpServer;

/// Model engine with continuous batching, a prefix cache, orders and fault injection.
#[derive(Debug)]
pub struct Engine {
    server: HttpServer,
    shared: Arc<Shared>,
    batch_thread: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts the server and the batch thread.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or the order log cannot be opened.
    pub fn bind(settings: EngineSettings) -> Result<Self, Error> {
        let address = settings.address.clone();
        let shared = Arc::new(Shared::open(settings)?);
        let handler = Arc::clone(&shared);
        let server = HttpServer::bind(&address, move |request| service::handle(&handler, request))?;
        let batch_shared = Arc::clone(&shared);
        let batch_thread = thread::spawn(move || batch::run(&batch_shared));
        Ok(Self {
            server,
            shared,
            batch_thread: Some(batch_thread),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the orders that this engine received, including rejected ones.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.orders.records()
    }

    /// Returns the counters of the work that this engine received.
    #[must_use]
    pub fn work(&self) -> WorkCounters {
        self.shared.lock().work.clone()
    }

    /// Sets whether the engine is draining: its load report says so, and it rejects orders.
    pub fn set_draining(&self, draining: bool) {
        self.shared.lock().draining = draining;
    }

    /// Injects faults, as `POST /debug/fault` does.
    pub fn set_fault(&self, fault: EngineFault) {
        self.shared.lock().fault = fault;
    }

    /// Simulates a crash: breaks every stream and serves no further requests.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Breaks every stream and stops the server.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.shared.crash();
        self.server.stop();
        if let Some(batch_thread) = self.batch_thread.take()
            && batch_thread.join().is_err()
        {
            log::error!("the batch thread of an engine panicked");
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shut_down();
    }
}
