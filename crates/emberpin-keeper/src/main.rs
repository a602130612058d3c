//! Not begun.
fn main() {}
