//! Entry point of the `foxnotch` executable. [`foxnotch::cli`] has its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    foxnotch::cli::run()
}
