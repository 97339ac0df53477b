//! The data model of replication: logs, and the entries that they contain.

use linnetknot_purges::KeyHash;

/// A duration, or a point in time as Unix time, in microseconds.
pub type Micros = u64;
/// The id of a writer, which is a hash of the proxy's name.
pub type Writer = u64;
/// An epoch of a writer's log, identified by its start time.
pub type Epoch = u64;
/// The index of an entry in a log. Indexes start at 1.
pub type Index = u64;

/// Identifies a log, which contains the entries that one writer appends within one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogId {
    /// The writer of the log.
    pub writer: Writer,
    /// The epoch of the writer.
    pub epoch: Epoch,
}

impl LogId {
    /// Creates the id of the log of a writer's epoch.
    pub const fn new(writer: Writer, epoch: Epoch) -> Self {
        LogId { writer, epoch }
    }

    /// Returns the next log id in sort order, or `None` if this is the greatest one.
    pub(crate) fn successor(self) -> Option<Self> {
        match self.epoch.checked_add(1) {
            Some(epoch) => Some(LogId { epoch, ..self }),
            None => Some(LogId {
                writer: self.writer.checked_add(1)?,
                epoch: 0,
            }),
        }
    }
}

/// The subject of an entry: a purged key, an operator decision, or the status or deletion of a trigger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A purge of one object, by its name.
    Object(String),
    /// A purge of all objects of a group.
    Group(u64),
    /// An operator's ban of a pop cache, by its id.
    Ban(String),
    /// An operator's drain of the proxy.
    Drain,
    /// One part of a trigger's status, which is split to fit into datagrams ([`crate::split_status`]). A part never
    /// changes.
    TriggerStatusPart {
        /// The trigger's number, which is unique per writer.
        number: u64,
        /// The number of the part, starting at 0.
        part: u16,
        /// The text of the part.
        text: String,
    },
    /// The deletion of a trigger by a peer CDN. The writer of this entry may differ from the writer of the status.
    TriggerDeleted {
        /// The writer of the trigger's status.
        writer: Writer,
        /// The number of the trigger.
        number: u64,
    },
}

impl Subject {
    /// Returns whether entries with this subject expire.
    pub fn is_expiring(&self) -> bool {
        matches!(
            self,
            Subject::TriggerStatusPart { .. } | Subject::TriggerDeleted { .. }
        )
    }

    /// Returns the key of the purge in a compact table, or `None` if the subject is not a purge.
    pub fn purge_key(&self) -> Option<KeyHash> {
        match self {
            Subject::Object(object) => Some(KeyHash::of_object(object)),
            Subject::Group(group) => Some(KeyHash::of_group(*group)),
            Subject::Ban(_)
            | Subject::Drain
            | Subject::TriggerStatusPart { .. }
            | Subject::TriggerDeleted { .. } => None,
        }
    }

    /// Returns whether entries with this subject are purges.
    pub fn is_purge(&self) -> bool {
        matches!(self, Subject::Object(_) | Subject::Group(_))
    }
}

/// An entry of a log, as it is sent to other replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The log that contains the entry.
    pub log: LogId,
    /// The index of the entry in its log.
    pub index: Index,
    /// The index that a replica must have reached in the log before it can insert this entry, or 0. It is the index of
    /// the preceding live entry or the sender's compacted index, whichever is greater. All entries between `prev` and
    /// `index` were superseded.
    pub prev: Index,
    /// The subject of the entry.
    pub subject: Subject,
    /// The time of the purge, decision or status report.
    pub at: Micros,
    /// Whether the entry revokes an operator decision. Always false for purges.
    pub revoked: bool,
}
