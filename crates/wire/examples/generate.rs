//! Generates `src/proto.rs` from `proto/chestnutnotch.proto`.
//!
//! With `--check` it only says whether the committed file is current.

use std::io;
use std::path::Path;
use std::process::ExitCode;

/// Why the code can't be generated.
#[derive(Debug, thiserror::Error)]
enum GenerateError {
    #[error("{0}")]
    Proto(#[from] protox::Error),
    #[error("{0}")]
    Io(#[from] io::Error),
}

const PACKAGE_FILE: &str = "chestnutnotch.v1.rs";

fn main() -> Result<ExitCode, GenerateError> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let target = root.join("src/proto.rs");
    let generated = generate(root)?;
    if std::env::args().any(|arg| arg == "--check") {
        let current = std::fs::read_to_string(&target)? == generated;
        if !current {
            eprintln!("src/proto.rs is not current: run this example without --check");
        }
        return Ok(if current {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    std::fs::write(&target, generated)?;
    Ok(ExitCode::SUCCESS)
}

fn generate(root: &Path) -> Result<String, GenerateError> {
    let proto = root.join("proto");
    let files = protox::compile([proto.join("chestnutnotch.proto")], [&proto])?;
    let out = std::env::temp_dir().join(format!("chestnutnotch-generate-{}", std::process::id()));
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(files)?;
    let code = std::fs::read_to_string(out.join(PACKAGE_FILE))?;
    std::fs::remove_dir_all(&out)?;
    Ok(format!(
        "//! Generated from proto/chestnutnotch.proto.\n\n{code}"
    ))
}
