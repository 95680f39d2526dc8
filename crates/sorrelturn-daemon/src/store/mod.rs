//! What outlives a process in the platform's store.

pub(crate) mod member_record;
pub(crate) mod outcomes;
pub(crate) mod quarantine;
