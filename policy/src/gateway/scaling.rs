//! Decisions on how many workers of a service run in each data centre, and of which kind.
//!
//! Spot workers are cheaper than ordinary ones, but the platform may reclaim all of a data centre at
//! once with notice shorter than the boot of replacements.

mod terms;

pub use terms::Terms;
