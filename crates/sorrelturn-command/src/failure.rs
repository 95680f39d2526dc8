//! Errors as operators see them: what happened, and what to do.

use sorrelturn_bundle::Diagnostic;
use sorrelturn_platform::PlatformError;
use std::fmt;

/// Exit codes, as `sorrelctl --help` lists them.
pub mod exit {
    /// A file or an answer is not as it should be.
    pub const FINDINGS: u8 = 1;
    /// The words of the call are off; `clap` uses the same code.
    pub const USAGE: u8 = 2;
    /// The platform or a daemon doesn't answer.
    pub const UNAVAILABLE: u8 = 3;
    /// Somebody else was first.
    pub const CONFLICT: u8 = 4;
}

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What happened.
    pub message: String,
    /// What to do about it.
    pub help: String,
    /// The exit code.
    pub exit: u8,
}

impl Failure {
    /// A failure with its exit code.
    pub fn new(exit: u8, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            help: help.into(),
            exit,
        }
    }

    /// Findings in a file, which bring their own help.
    pub fn findings(findings: &[Diagnostic]) -> Self {
        let text: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Self::new(exit::FINDINGS, text.join("\n\n"), "")
    }

    /// A file that can't be read or written.
    pub fn file(name: &str, error: &std::io::Error) -> Self {
        Self::new(
            exit::FINDINGS,
            format!("{name}: {error}"),
            "name a file that is there and may be used",
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Findings are printed as they are; they start with their own "error:".
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
                format!("somebody else published first; the head is at object version {version}"),
                "look at `sorrelctl bundle diff`, then publish again",
            ),
            PlatformError::AnswerLost(_) => Self::new(
                exit::UNAVAILABLE,
                format!("{error}"),
                "run `sorrelctl bundle status` before you publish again",
            ),
            other => Self::new(
                exit::UNAVAILABLE,
                format!("{other}"),
                "check the address given with --platform, or wait for the end of the outage",
            ),
        }
    }
}
