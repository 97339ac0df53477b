//! Why the operators' own file is rejected.

use linnetknot_budgets::spec::LimitTooSmall;
use linnetknot_discovery::DampingError;
use linnetknot_purges::BucketBitsError;
use std::fmt::Display;

/// A fault in the operators' own file. Every message begins with the full path of the key at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InterconnectError {
    /// A key is unknown, missing, or its value has the wrong type.
    #[error("{key}: {reason}")]
    Form {
        /// The path of the key.
        key: String,
        /// What is wrong, in the words of the deserializer.
        reason: String,
    },
    /// A number lies outside its range.
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
    /// A text is empty, too long or holds control characters.
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
    /// A network of the footprint can't be read.
    #[error("cdni.footprint[{index}]: '{text}' is no IPv4 network")]
    Footprint {
        /// The index of the network in the list.
        index: usize,
        /// The network as the file has it.
        text: String,
    },
    /// The default zone is none of the settings'.
    #[error("consul.zone: '{zone}' is none of the settings' zones ({})", zones.join(", "))]
    UnknownZone {
        /// The zone as the file has it.
        zone: String,
        /// The settings' zones.
        zones: Vec<String>,
    },
    /// The figures of the damping contradict each other.
    #[error("consul.damping.{key} {source}")]
    Damping {
        /// The key within `consul.damping`.
        key: String,
        /// What is wrong with it.
        source: DampingError,
    },
    /// Replication is on, and there is no file to store its purges in.
    #[error("peers.copies: 'cdni.purges' names no file to keep them in")]
    NoPurgeFile,
    /// More further machines are required than the peers stand on.
    #[error(
        "copies.{key}: {required} further machines are to have what is promised, and the peers stand on {available} \
         besides this proxy's own; 'copies.machines' names those that share an address"
    )]
    TooFewMachines {
        /// The key within `copies`.
        key: &'static str,
        /// How many further machines it requires.
        required: usize,
        /// How many there are.
        available: usize,
    },
    /// The replication factor is smaller than the minimum of acknowledgements.
    #[error("copies.holders: fewer than the {min_acks} of 'copies.wait'")]
    ReplicationFactorTooSmall {
        /// The minimum of acknowledgements.
        min_acks: usize,
    },
    /// The size of the table is not a power of two.
    #[error("{key}: {megabytes} is no power of two")]
    NotPowerOfTwo {
        /// The path of the key.
        key: &'static str,
        /// The size, in MiB.
        megabytes: u32,
    },
    /// A table of this size can't be addressed.
    #[error("{key}: {source}")]
    TableSize {
        /// The path of the key.
        key: &'static str,
        /// The bound that the size exceeds.
        source: BucketBitsError,
    },
    /// Budgets are shared without replication.
    #[error("budgets: needs 'peers.copies', by which the proxies know each other")]
    BudgetsNeedReplication,
    /// This proxy is not in the list of those that share the budgets.
    #[error("budgets: 'peers' does not name this proxy's own 'peer_listen', by whose place there it is known")]
    NotAmongPeers,
    /// The limit of the origin is less than the sum of what is reserved of it.
    #[error("budgets.origin.whole: {limit} is {source}")]
    OriginLimit {
        /// The limit.
        limit: u64,
        /// The sum that it falls short of.
        source: LimitTooSmall,
    },
}

impl InterconnectError {
    /// A number outside its range.
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
