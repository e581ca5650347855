//! Generates `src/proto.rs` from `proto/chestnutnotch.proto`.
//!
//! With `--check` it writes nothing and fails if the committed file is outdated.

use std::io;
use std::path::Path;
use std::process::ExitCode;

/// Error of generating the code.
#[derive(Debug, thiserror::Error)]
enum GenerateError {
    #[error("{0}")]
    Proto(#[from] protox::Error),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// File that the generator writes for the package of the messages.
const PACKAGE_FILE: &str = "chestnutnotch.v1.rs";

fn main() -> Result<ExitCode, GenerateError> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let target = root.join("src/proto.rs");
    let generated = generate(root)?;
    if std::env::args().any(|arg| arg == "--check") {
        let is_current = std::fs::read_to_string(&target)? == generated;
        if !is_current {
            eprintln!("src/proto.rs is outdated: run this example without --check");
        }
        return Ok(if is_current {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    std::fs::write(&target, generated)?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the code generated from the messages below `root`, the folder of this crate.
fn generate(root: &Path) -> Result<String, GenerateError> {
    let proto = root.join("proto");
    let files = protox::compile([proto.join("chestnutnotch.proto")], [&proto])?;
    let out_dir =
        std::env::temp_dir().join(format!("chestnutnotch-generate-{}", std::process::id()));
    std::fs::create_dir_all(&out_dir)?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .compile_fds(files)?;
    let code = std::fs::read_to_string(out_dir.join(PACKAGE_FILE))?;
    std::fs::remove_dir_all(&out_dir)?;
    Ok(format!(
        "//! Generated from proto/chestnutnotch.proto.\n\n{code}"
    ))
}
