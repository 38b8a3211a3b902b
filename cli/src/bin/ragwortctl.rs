//! The `ragwortctl` program.

fn main() {}
