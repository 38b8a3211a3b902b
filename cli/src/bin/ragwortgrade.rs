//! The `ragwortgrade` program.

fn main() {}
