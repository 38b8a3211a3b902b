//! Decisions about requests that arrive with a route, a deadline and a description of their prompt.
//!
//! The shell in `ragwortgrade-lib` reads requests and calls endpoints; everything that is decided
//! about a request (endpoint, prefill apart or in place, priority, retry, refusal) is decided here
//! from events and the time.

mod admission;
mod affinity;
mod arrival;
mod catalog;
mod demand;
mod endpoint;
mod engine_load;
mod engines;
mod health;
mod limits;
mod offer;
mod outcome;
mod pace;
mod peer_loads;
mod placement;
mod plain_pool;
mod prompt;
mod registry;
mod route;
mod service;
mod speed;
mod untold;

pub use arrival::Arrival;
pub use catalog::Catalog;
pub use endpoint::{Endpoint, Stage, State};
pub use engine_load::Work;
pub use engines::Engines;
pub use health::Health;
pub use limits::Limits;
pub use outcome::{Failure, Outcome, Step, has_attempts_left, next_step};
pub use peer_loads::{PRIORITIES, Share};
pub use placement::{Placement, Refusal};
pub use plain_pool::PlainPool;
pub use prompt::{Part, Prompt};
pub use registry::{Change, Registry};
pub use route::{Repeat, Route};
pub use service::{EngineLimits, Service};
pub use speed::Speed;
pub use untold::Sent;
