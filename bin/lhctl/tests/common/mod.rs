//! Helpers that run `lhctl` on a configuration folder.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use tempfile::TempDir;

pub const BASE: &str = "[deployment]\nname = demo\n[region north]\ndomains = n-1\n\
                    [service board]\nrepeat = idempotent\n";

/// Creates a configuration folder with [`BASE`] and `overlay`.
pub fn settings_folder(overlay: &str) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("base.ini"), BASE).unwrap();
    std::fs::write(folder.path().join("north.ini"), overlay).unwrap();
    folder
}

/// Runs `lhctl`; returns its exit code, and standard output followed by standard error.
pub async fn run_lhctl(platform: SocketAddr, args: &[&str]) -> (i32, String) {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = move || -> Output {
        Command::new(env!("CARGO_BIN_EXE_lhctl"))
            .args(&args)
            .env("LAURELHILL_PLATFORM", platform.to_string())
            .output()
            .unwrap()
    };
    let output = tokio::task::spawn_blocking(run).await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

pub fn path(folder: &TempDir) -> &str {
    Path::to_str(folder.path()).unwrap()
}
