//! Numbers of the purges of a run and the objects that they purge.

/// Number that identifies a purge within a run.
pub type PurgeNumber = u64;

/// Returns the name of the object purged by this purge.
pub fn object(purge: PurgeNumber) -> String {
    format!("{purge:032x}")
}

/// Returns the number of the purge of an object, if the object belongs to the run.
pub fn purge_of(object: &str) -> Option<PurgeNumber> {
    PurgeNumber::from_str_radix(object, 16).ok()
}
