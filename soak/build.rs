//! Builds the fault injection library, which relay processes load through LD_PRELOAD. The library is not a
//! crate of the workspace, because its symbols would override those of every program that links it.
use std::path::Path;
use std::process::Command;

fn main() {
    println!("cargo:rerun-if-changed=shim/faults.rs");
    let directory = std::env::var("OUT_DIR").expect("read OUT_DIR, which cargo sets");
    let library = Path::new(&directory).join("libfaults.so");
    let compiler = std::env::var("RUSTC").expect("read RUSTC, which cargo sets");
    let mut command = Command::new(compiler);
    command.args(["--edition", "2021", "--crate-type", "cdylib", "-O", "-C", "panic=abort"]);
    command.arg("-o").arg(&library).arg("shim/faults.rs");
    let status = command.status().expect("run rustc for the fault injection library");
    assert!(status.success(), "rustc failed to compile shim/faults.rs: {status}");
    println!("cargo:rustc-env=FAULTS_LIBRARY={}", library.display());
}
