//! Tests of whole daemons as processes, judged from outside.
//!
//! The stand-ins run inside the test process, so only daemons are child processes.

mod leaving;
mod orders;
mod outage;
mod outage_orders;
mod setup;
mod streams;
