//! The daemon with the project's own interface.

use sorrelturn_daemon::{Dialect, process};
use std::process::ExitCode;

fn main() -> ExitCode {
    process::main("sorrelturnd", Dialect::own())
}
