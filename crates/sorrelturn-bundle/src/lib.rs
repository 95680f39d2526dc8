#![doc = include_str!("../README.md")]

mod check;
mod diagnostic;
mod index;
mod manifest;
mod model;
mod parse;
mod pattern;
mod raw_fields;
mod routes;
mod sign;
mod table_document;
mod workspaces;

pub use check::check;
pub use diagnostic::{Diagnostic, SourceMap};
pub use index::{Bundle, CallerEntry, KindEntry};
pub use manifest::{
    ContentHash, MAX_SECTION_BYTES, Manifest, ManifestError, SectionBytes, SignedManifest, join,
    split,
};
pub use model::{BundleSource, Caller, Execution, Kind, Service};
pub use parse::{ParseError, parse, parse_settings};
pub use pattern::PathPattern;
pub use routes::{Limits, Route, RouteEntry, RouteError, RouteTable, RoutedService, Share};
pub use sign::{KeyError, OperatorKey, TrustedKeys};
pub use table_document::{RejectedEntry, TableDocument, TableSection};
pub use workspaces::{CredentialHash, QuotaLimit, Workspace, WorkspaceEntry};
