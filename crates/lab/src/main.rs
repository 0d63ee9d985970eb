//! The `foxnotch-lab` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxnotch_lab::cli::run()
}
