//! Decisions about requests that match a route and whose callers may give a deadline and a
//! description of the prompt.
//!
//! `ragwortgrade-lib` reads requests and calls endpoints. This module decides, from events and the
//! time, which endpoint runs a request, whether its prefill is local or remote, its priority, and
//! whether it is retried or refused. The callers' interface of a daemon without a gateway,
//! `ragwortgrade_lib::front`, uses [`Router`](crate::Router) instead.
//!
//! In this module, rank 0 and priority 0 are the most urgent. In [`Router`](crate::Router), the
//! higher priority goes first.

mod admission;
mod affinity;
mod catalog;
mod changes_request;
mod departure_report;
mod departures;
mod endpoint;
mod engine_load;
mod engine_sample;
mod engine_speeds;
mod engines;
pub mod epidemic;
mod evidence;
mod fingerprint;
mod health;
mod latency_model;
mod limits;
mod lost_run;
mod need_order;
mod outcome;
mod output_lengths;
mod peer;
mod peer_directory;
mod peer_loads;
mod placement;
mod placement_request;
mod plain_pool;
mod prefill_candidate;
mod prompt;
mod quarantine;
mod rate_limits;
mod rate_report;
mod rate_window;
mod read_retry;
mod registration_batch;
mod registration_feed;
mod registration_log;
mod registration_source;
mod registry;
mod request_metadata;
mod route;
mod service;
mod size_shares;
mod speed;
mod store_era;
mod store_outage;
mod suspect;
mod unsent_parts;
mod update_order;
mod update_schedule;
mod wait_limit;

pub use catalog::Catalog;
pub use changes_request::ChangesRequest;
pub use departure_report::DepartureReport;
pub use endpoint::{Endpoint, EndpointState, Stage};
pub use engine_load::CallOutcome;
pub use engine_speeds::{ObservedPrefill, SpeedKind, SpeedSample};
pub use engines::Engines;
pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use health::Health;
pub use limits::Limits;
pub use lost_run::LostRun;
pub use outcome::{Failure, NextStep, Outcome, has_attempts_left, next_step};
pub use peer::Peer;
pub use peer_directory::PeerDirectory;
pub use peer_loads::{EngineWork, PRIORITY_LEVELS};
pub use placement::{Estimate, Placement, Refusal};
pub use plain_pool::PlainPool;
pub use prompt::{Part, Prompt};
pub use quarantine::Quarantine;
pub use rate_limits::RateLimits;
pub use rate_report::RateReport;
pub use read_retry::ReadRetry;
pub use registration_batch::{RegistrationBatch, RegistrationChange, RegistrationContent};
pub use registration_feed::RegistrationFeed;
pub use registration_source::RegistrationSource;
pub use registry::{Change, Registry};
pub use request_metadata::RequestMetadata;
pub use route::{DeliverySemantics, Route};
pub use service::{EngineLimits, Service};
pub use size_shares::SizeShares;
pub use speed::Speed;
pub use store_era::{ResponseEra, StoreEra};
pub use store_outage::{Recovery, StoreOutage};
pub use unsent_parts::CachedPart;
pub use update_order::UpdateOrder;
pub use update_schedule::UpdateSchedule;
pub use wait_limit::WaitLimit;
