//! The points of a commit at which the matrix makes proxies fail, and the defects that can be injected in the daemons.

/// A proxy and the step of a commit at which it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultPoint {
    /// The writer crashes before it sends the entry to its peers.
    WriterBeforeSend,
    /// The writer crashes after it has sent the entry to its peers.
    WriterAfterSend,
    /// The writer crashes before the entry is durable there.
    WriterBeforeDisk,
    /// The writer crashes after the entry is durable there.
    WriterAfterDisk,
    /// The writer crashes after the entry is replicated and before its answer.
    WriterBeforeAnswer,
    /// The writer is killed right after its answer.
    WriterAfterAnswer,
    /// The writer is isolated, receives a purge, and is lost before it is reconnected.
    WriterIsolated,
    /// The writer's disk fails.
    WriterDiskFails,
    /// A replica crashes before the entry is durable there.
    ReplicaBeforeDisk,
    /// A replica crashes after the entry is durable there.
    ReplicaAfterDisk,
    /// A replica crashes before it acknowledges the entry.
    ReplicaBeforeAck,
    /// A replica is stopped (SIGSTOP) and lost.
    ReplicaStalled,
    /// A replica is isolated for one commit and reconnected for the next, and then the writer is lost.
    ReplicaIsolated,
    /// The writer is stopped while a successor takes its name, and is resumed.
    Successor,
}

/// A fault point with its name and the daemon's fail point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultPointEntry {
    /// The fault point.
    pub point: FaultPoint,
    /// The name of the fault point in printed tables.
    pub name: &'static str,
    /// The daemon's fail point, or empty if the fault comes from outside.
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

/// A defect that can be injected in the daemons to check that the rules detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Defect {
    /// The name of the defect on the command line.
    pub name: &'static str,
    /// The daemon's fail point.
    pub fail_points: &'static str,
    /// The wrong behaviour of the daemons.
    pub effect: &'static str,
}

/// All defects that can be injected.
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
