//! Logs and their entries.

use linnetknot_purges::KeyHash;

/// Time or duration in microseconds, Unix time where it is a time of day.
pub type Micros = u64;
/// A writer: a hash of the proxy's name.
pub type Writer = u64;
/// An epoch of a writer's log: the time of its beginning.
pub type Epoch = u64;
/// An index in a log, from 1.
pub type Index = u64;

/// A log: what one writer appends within one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogId {
    /// Whose log it is.
    pub writer: Writer,
    /// In which of the writer's epochs.
    pub epoch: Epoch,
}

impl LogId {
    /// The log of a writer's epoch.
    pub const fn new(writer: Writer, epoch: Epoch) -> Self {
        LogId { writer, epoch }
    }

    /// Returns the least log that is greater than this one; `None` if this is the greatest.
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

/// The subject of an entry: what was purged, what the operators of its writer decided, or a trigger's status.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An object.
    Object(String),
    /// All objects of a group.
    Group(u64),
    /// An operator's ban of a pop cache, by its id.
    Ban(String),
    /// An operator's drain of the proxy.
    Drain,
    /// One of the pieces into which the status of a trigger is cut ([`crate::split_status`]). It never changes.
    TriggerStatusPart {
        /// The trigger's number, which is unique for its writer.
        number: u64,
        /// The number of the piece, from 0.
        part: u16,
        /// The text of the piece.
        text: String,
    },
    /// A peer CDN has deleted a trigger, whose status another proxy may have written.
    TriggerDeleted {
        /// The writer of the trigger's status.
        writer: Writer,
        /// The trigger's number.
        number: u64,
    },
}

impl Subject {
    /// Returns whether entries on this subject expire.
    pub fn is_expiring(&self) -> bool {
        matches!(
            self,
            Subject::TriggerStatusPart { .. } | Subject::TriggerDeleted { .. }
        )
    }

    /// Returns the key of the purge in a compact table; `None` if this is no purge.
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

    /// Returns whether entries on this subject are purges.
    pub fn is_purge(&self) -> bool {
        matches!(self, Subject::Object(_) | Subject::Group(_))
    }
}

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Its log.
    pub log: LogId,
    /// Its index there.
    pub index: Index,
    /// The index before it that a replica must have to take the entry next, or 0: that of the last entry before it that is
    /// in force, or that through which its sender has compacted the log. All entries between were superseded.
    pub prev: Index,
    /// Its subject.
    pub subject: Subject,
    /// When it was purged, decided or reported.
    pub at: Micros,
    /// Whether an operators' decision is revoked; a purge never is.
    pub revoked: bool,
}
