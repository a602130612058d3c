//! Rebuilds the package when a recorded scenario is added or changed, because the scenarios are embedded into it.

fn main() {
    println!("cargo:rerun-if-changed=scenarios");
}
