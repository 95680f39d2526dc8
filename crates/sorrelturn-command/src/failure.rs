//! Errors for operators, with a help text and an exit code.

use sorrelturn_bundle::Diagnostic;
use sorrelturn_platform::PlatformError;
use std::fmt;

/// Exit codes, as `sorrelctl --help` lists them.
pub mod exit {
    /// A file or a response is invalid.
    pub const FINDINGS: u8 = 1;
    /// The command line is invalid; `clap` uses the same code.
    pub const USAGE: u8 = 2;
    /// The platform or a daemon is unreachable.
    pub const UNAVAILABLE: u8 = 3;
    /// A concurrent publication was accepted first.
    pub const CONFLICT: u8 = 4;
}

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The error message.
    pub message: String,
    /// A hint on how to fix the error; empty if the message contains it.
    pub help: String,
    /// The exit code, one of [`exit`].
    pub exit: u8,
}

impl Failure {
    /// Creates a failure.
    pub fn new(exit: u8, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            help: help.into(),
            exit,
        }
    }

    /// Creates a failure from findings in a file, which contain their own help.
    pub fn findings(findings: &[Diagnostic]) -> Self {
        let text: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Self::new(exit::FINDINGS, text.join("\n\n"), "")
    }

    /// Creates a failure for a file that can't be read or written.
    pub fn file(name: &str, error: &std::io::Error) -> Self {
        Self::new(
            exit::FINDINGS,
            format!("{name}: {error}"),
            "name a file that exists and is accessible",
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Findings start with their own "error:".
        if self.help.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "error: {}\n  help: {}", self.message, self.help)
    }
}

impl std::error::Error for Failure {}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Conflict(version) => Self::new(
                exit::CONFLICT,
                format!(
                    "another publication was accepted first; the head is at object version {version}"
                ),
                "check `sorrelctl bundle diff`, then publish again",
            ),
            PlatformError::AnswerLost(_) => Self::new(
                exit::UNAVAILABLE,
                format!("{error}"),
                "run `sorrelctl bundle status` before publishing again",
            ),
            other => Self::new(
                exit::UNAVAILABLE,
                format!("{other}"),
                "check the address given with --platform, or wait until the outage is over",
            ),
        }
    }
}
