#![doc = include_str!("../README.md")]

mod commands;
mod failure;
mod output;
mod publication;
mod remote;

pub use commands::{COMMANDS, CommandEntry, root};
pub use failure::{Failure, exit};
pub use output::Output;
pub use publication::{Accepted, Publication, history, publish, read_head};
