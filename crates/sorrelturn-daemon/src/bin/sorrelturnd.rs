//! The daemon with the project's own header names and dialect.

use sorrelturn_daemon::{Dialect, process};
use std::process::ExitCode;

fn main() -> ExitCode {
    process::main("sorrelturnd", Dialect::own())
}
