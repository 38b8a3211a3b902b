//! Relays callers' requests to engines and plain services by declared routes.
//!
//! The gateway speaks no particular dialect: a [`Dialect`] names the headers, a [`Store`] holds the
//! declarations and the registrations. Decisions are those of `ragwortgrade_policy::gateway`; this
//! module moves bytes, keeps time and reports what happened. It runs on one thread, since an entry
//! VM has a fraction of a core.

mod answer;
mod budgets;
mod caller;
mod client;
mod connection;
mod dialect;
mod ending;
mod exchange;
mod follower;
mod generation;
mod handle;
mod news;
mod news_exchange;
mod options;
mod peers;
mod plain;
mod pump;
mod registration;
mod relay;
mod request;
mod running;
mod server;
mod settings;
mod settings_file;
mod shared;
mod socket;
mod status;
mod store;

pub use client::{Client, FetchError};
pub use dialect::{Dialect, Dispatch, Purpose, Reply, Verdict};
pub use handle::Gateway;
pub use options::{Declarations, Options};
pub use settings::Settings;
pub use settings_file::{Revision, SettingsFile};
pub use store::{Item, Lease, Page, Store, StoreError, Update, Updates};
