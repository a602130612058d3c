//! Builds the package anew when a recorded scenario is added or changed: they are embedded into it.

fn main() {
    println!("cargo:rerun-if-changed=scenarios");
}
