//! The purges of a run, and the objects that they are about.

/// Names a purge in a run.
pub type PurgeNumber = u64;

/// The object that a purge of this number is about.
pub fn object(purge: PurgeNumber) -> String {
    format!("{purge:032x}")
}

/// The purge that is about an object.
pub fn purge_of(object: &str) -> Option<PurgeNumber> {
    PurgeNumber::from_str_radix(object, 16).ok()
}
