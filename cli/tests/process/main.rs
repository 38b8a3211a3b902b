//! Tests of whole daemons as processes, judged from outside.
//!
//! The stand-ins run inside the test process, so only daemons are child processes.

mod leaving;
mod outage;
mod setup;
mod streams;
