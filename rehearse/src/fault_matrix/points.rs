//! The points of a commit at which the matrix has proxies fail, and the faults that can be planted in the daemons.

/// A step of a commit at which a proxy fails, and which proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultPoint {
    /// The writer dies before it sends the entry to anybody.
    WriterBeforeSend,
    /// It dies once it has sent the entry to its peers.
    WriterAfterSend,
    /// It dies before the entry is durable there.
    WriterBeforeDisk,
    /// It dies once the entry is durable there.
    WriterAfterDisk,
    /// It dies once the entry is replicated, before its answer.
    WriterBeforeAnswer,
    /// It is killed right after its answer.
    WriterAfterAnswer,
    /// It is cut off from all, gets a purge, and is lost before the links are back.
    WriterIsolated,
    /// Its disk fails.
    WriterDiskFails,
    /// A replica dies before the entry is durable there.
    ReplicaBeforeDisk,
    /// It dies once the entry is durable there.
    ReplicaAfterDisk,
    /// It dies before it acknowledges the entry.
    ReplicaBeforeAck,
    /// It is stopped, and is lost.
    ReplicaStalled,
    /// It is cut off for one commit and back for the next; the writer is lost then.
    ReplicaIsolated,
    /// The writer is stopped while another takes its name, and goes on.
    Successor,
}

/// A fault point, with its name and what is armed in the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultPointEntry {
    /// The point.
    pub point: FaultPoint,
    /// Its name in tables.
    pub name: &'static str,
    /// The daemon's fail point; empty where the fault comes from outside.
    pub fail_points: &'static str,
}

const fn entry(
    point: FaultPoint,
    name: &'static str,
    fail_points: &'static str,
) -> FaultPointEntry {
    FaultPointEntry {
        point,
        name,
        fail_points,
    }
}

/// All fault points.
pub const FAULT_POINTS: [FaultPointEntry; 14] = [
    entry(
        FaultPoint::WriterBeforeSend,
        "writer-before-telling",
        "peers-tell=die",
    ),
    entry(
        FaultPoint::WriterAfterSend,
        "writer-after-telling",
        "peers-told=die",
    ),
    entry(
        FaultPoint::WriterBeforeDisk,
        "writer-before-disk",
        "store-commits=die",
    ),
    entry(
        FaultPoint::WriterAfterDisk,
        "writer-after-disk",
        "store-committed=die",
    ),
    entry(
        FaultPoint::WriterBeforeAnswer,
        "writer-before-yes",
        "promise-kept=die",
    ),
    entry(FaultPoint::WriterAfterAnswer, "writer-after-yes", ""),
    entry(FaultPoint::WriterIsolated, "writer-cut", ""),
    entry(
        FaultPoint::WriterDiskFails,
        "writer-disk-fails",
        "store-fails=fail",
    ),
    entry(
        FaultPoint::ReplicaBeforeDisk,
        "holder-before-disk",
        "store-commits=die",
    ),
    entry(
        FaultPoint::ReplicaAfterDisk,
        "holder-after-disk",
        "store-committed=die",
    ),
    entry(
        FaultPoint::ReplicaBeforeAck,
        "holder-before-word",
        "holder-says=die",
    ),
    entry(FaultPoint::ReplicaStalled, "holder-stalled", ""),
    entry(FaultPoint::ReplicaIsolated, "holder-cut", ""),
    entry(FaultPoint::Successor, "successor", ""),
];

/// A fault that can be planted in the daemons, so that the rules have something to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Defect {
    /// Its name on the command line.
    pub name: &'static str,
    /// The daemon's fail point.
    pub fail_points: &'static str,
    /// What the daemons do wrong.
    pub effect: &'static str,
}

/// All faults that can be planted.
pub const DEFECTS: [Defect; 3] = [
    Defect {
        name: "credit",
        fail_points: "plant-credit=fail",
        effect: "an answer before the entry is replicated",
    },
    Defect {
        name: "skip",
        fail_points: "plant-skip=fail",
        effect: "a catch-up that skips missing entries",
    },
    Defect {
        name: "no-fence",
        fail_points: "plant-no-fence=fail",
        effect: "a replaced process that goes on committing",
    },
];
