//! Cost of one routing decision.

fn main() {}
