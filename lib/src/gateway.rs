//! HTTP gateway that routes callers' requests to engines and plain services.
//!
//! The gateway is independent of a deployment's wire format: a [`Dialect`] translates HTTP
//! messages, and a [`Store`] holds the configuration and the endpoints' registrations.
//! `ragwortgrade_policy::gateway` decides on routing, placement and retries; this module does the
//! I/O, measures time and reports outcomes to the policy. It runs on a single thread, since an
//! entry VM has only a fraction of a core.

mod authorization;
mod caller_connection;
mod caller_limits;
mod catalog_handler;
mod catalog_reads;
mod client;
mod configuration;
mod connection;
mod crash_detector;
mod dialect;
mod drain;
pub mod duties;
mod endpoint_handler;
mod endpoint_index;
mod engine_choice;
mod event_counter;
mod exchange;
mod failure;
mod fairness;
mod generation;
mod handle;
mod head_limit;
mod held_bytes;
mod limit_log;
mod load_exchange;
mod load_update;
mod local_response;
mod memory;
mod memory_account;
mod monitored_stream;
mod news_exchange;
mod news_message;
mod options;
mod peer_traffic;
mod peers;
mod plain;
mod prefill_guard;
mod registration;
mod request_body;
mod request_context;
mod request_handler;
mod response_body;
mod retry_budgets;
mod scaling_task;
mod server;
mod settings;
mod settings_file;
mod shared;
mod shared_reads;
mod socket;
mod speed_report;
mod store;
mod store_watcher;
mod stream_forwarder;
mod stream_pauses;
mod stream_times;
mod stream_work;
mod supervisor;
mod tenant_statistics;
mod unreadable_datagrams;
mod watch_handler;
mod work_guard;

pub use caller_limits::CallerLimits;
pub use client::{Client, FetchError, FetchTimeouts};
pub use dialect::{Dialect, Dispatch, Disposition, Operation, Origin, ResponseInfo};
pub use handle::Gateway;
pub use options::{DocumentFormat, Options};
pub use settings::Settings;
pub use settings_file::{SettingsChange, SettingsFile};
pub use store::{
    Item, LeaseId, Page, Put, Store, StoreError, StoreFuture, StoreResponse, Transaction, Update,
    Updates,
};
