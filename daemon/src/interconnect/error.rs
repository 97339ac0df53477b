//! Errors of the operators' own file.

use linnetknot_budgets::spec::LimitTooSmall;
use linnetknot_discovery::DampingError;
use linnetknot_purges::BucketBitsError;
use std::fmt::Display;

/// An error in the operators' own file. Every message begins with the full path of the key at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InterconnectError {
    /// A key is unknown, missing, or its value has the wrong type.
    #[error("{key}: {reason}")]
    Form {
        /// The path of the key.
        key: String,
        /// The message of the deserializer.
        reason: String,
    },
    /// A number is out of its range.
    #[error("{key}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The path of the key.
        key: String,
        /// The number.
        value: String,
        /// The smallest number allowed.
        min: String,
        /// The largest number allowed.
        max: String,
    },
    /// A text is empty, too long or contains control characters.
    #[error("{key}: '{}' can't be used", text.escape_default())]
    UnusableText {
        /// The path of the key.
        key: String,
        /// The text.
        text: String,
    },
    /// A key that its section needs is missing.
    #[error("{key} is missing")]
    Missing {
        /// The path of the key.
        key: &'static str,
    },
    /// A network of the footprint is malformed.
    #[error("cdni.footprint[{index}]: '{text}' is no IPv4 network")]
    Footprint {
        /// The index of the network in the list.
        index: usize,
        /// The network in the file.
        text: String,
    },
    /// The default zone of Consul instances is not among the zones of the settings.
    #[error("consul.zone: '{zone}' is none of the settings' zones ({})", zones.join(", "))]
    UnknownZone {
        /// The zone in the file.
        zone: String,
        /// The zones of the settings.
        zones: Vec<String>,
    },
    /// The parameters of flap damping contradict each other.
    #[error("consul.damping.{key} {source}")]
    Damping {
        /// The key within `consul.damping`.
        key: String,
        /// The error of the parameter.
        source: DampingError,
    },
    /// Replication is on, but there is no file for the purges.
    #[error("peers.copies: 'cdni.purges' names no file to store the purges in")]
    NoPurgeFile,
    /// The peers are on fewer further machines than are required.
    #[error(
        "copies.{key}: {required} further machines are required, but the peers are on only {available} \
         besides this proxy's own; 'copies.machines' names those that share an address"
    )]
    TooFewMachines {
        /// The key within `copies`.
        key: &'static str,
        /// The number of further machines that it requires.
        required: usize,
        /// The number of further machines that the peers are on.
        available: usize,
    },
    /// The replication factor is less than the minimum number of acknowledgements.
    #[error("copies.holders: fewer than the {min_acks} of 'copies.wait'")]
    ReplicationFactorTooSmall {
        /// The minimum number of acknowledgements.
        min_acks: usize,
    },
    /// The size of the table of older purges is not a power of two.
    #[error("{key}: {megabytes} is no power of two")]
    NotPowerOfTwo {
        /// The path of the key.
        key: &'static str,
        /// The size, in MiB.
        megabytes: u32,
    },
    /// The size of the table of older purges exceeds the maximum.
    #[error("{key}: {source}")]
    TableSize {
        /// The path of the key.
        key: &'static str,
        /// The limit that the size exceeds.
        source: BucketBitsError,
    },
    /// Budgets are shared without replication.
    #[error("budgets: needs 'peers.copies'")]
    BudgetsNeedReplication,
    /// This proxy is not in the list of peers that share the budgets.
    #[error("budgets: 'peers' does not name this proxy's own 'peer_listen'")]
    NotAmongPeers,
    /// The limit of the origin is less than the sum of the reserved minimums.
    #[error("budgets.origin.whole: {limit} is {source}")]
    OriginLimit {
        /// The limit.
        limit: u64,
        /// The error with the sum of the reserved minimums.
        source: LimitTooSmall,
    },
}

impl InterconnectError {
    /// Creates the error for a number out of its range.
    pub(super) fn out_of_range<T: Display>(key: &str, value: T, min: T, max: T) -> Self {
        InterconnectError::OutOfRange {
            key: key.to_owned(),
            value: value.to_string(),
            min: min.to_string(),
            max: max.to_string(),
        }
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for InterconnectError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        InterconnectError::Form {
            key: error.path().to_string(),
            reason: error.into_inner().to_string(),
        }
    }
}
