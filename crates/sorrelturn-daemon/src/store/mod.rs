//! What outlives a process in the platform's store.

pub(crate) mod outcomes;
pub(crate) mod own_record;
