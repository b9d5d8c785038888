//! Builds the fault injection library, which relay processes load by LD_PRELOAD. It is no crate of the
//! workspace: its symbols would replace those of every program that it is linked to.
use std::path::Path;
use std::process::Command;

fn main() {
    println!("cargo:rerun-if-changed=shim/faults.rs");
    let folder = std::env::var("OUT_DIR").expect("cargo sets OUT_DIR");
    let library = Path::new(&folder).join("libfaults.so");
    let compiler = std::env::var("RUSTC").expect("cargo sets RUSTC");
    let mut command = Command::new(compiler);
    command.args(["--edition", "2021", "--crate-type", "cdylib", "-O", "-C", "panic=abort"]);
    command.arg("-o").arg(&library).arg("shim/faults.rs");
    let status = command.status().expect("the compiler starts");
    assert!(status.success(), "the fault injection library does not compile");
    println!("cargo:rustc-env=FAULTS_LIBRARY={}", library.display());
}
