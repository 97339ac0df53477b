//! The points of a commit at which the matrix has proxies fail, and the faults that can be planted in the daemons.

/// A step of a commit at which a proxy fails, and which proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultPoint {
    /// The writer dies before it sends the entry to anybody.
    WriterBeforeTelling,
    /// It dies once it has sent the entry to its peers.
    WriterAfterTelling,
    /// It dies before the entry is durable there.
    WriterBeforeDisk,
    /// It dies once the entry is durable there.
    WriterAfterDisk,
    /// It dies once the entry is replicated, before its answer.
    WriterBeforeYes,
    /// It is killed right after its answer.
    WriterAfterYes,
    /// It is cut off from all, gets a purge, and is lost before the links are back.
    WriterCut,
    /// Its disk fails.
    WriterDiskFails,
    /// A replica dies before the entry is durable there.
    HolderBeforeDisk,
    /// It dies once the entry is durable there.
    HolderAfterDisk,
    /// It dies before it acknowledges the entry.
    HolderBeforeWord,
    /// It is stopped, and is lost.
    HolderStalled,
    /// It is cut off for one commit and back for the next; the writer is lost then.
    HolderCut,
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
    pub armed: &'static str,
}

const fn entry(point: FaultPoint, name: &'static str, armed: &'static str) -> FaultPointEntry {
    FaultPointEntry { point, name, armed }
}

/// All fault points.
pub const FAULT_POINTS: [FaultPointEntry; 14] = [
    entry(
        FaultPoint::WriterBeforeTelling,
        "writer-before-telling",
        "peers-tell=die",
    ),
    entry(
        FaultPoint::WriterAfterTelling,
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
        FaultPoint::WriterBeforeYes,
        "writer-before-yes",
        "promise-kept=die",
    ),
    entry(FaultPoint::WriterAfterYes, "writer-after-yes", ""),
    entry(FaultPoint::WriterCut, "writer-cut", ""),
    entry(
        FaultPoint::WriterDiskFails,
        "writer-disk-fails",
        "store-fails=fail",
    ),
    entry(
        FaultPoint::HolderBeforeDisk,
        "holder-before-disk",
        "store-commits=die",
    ),
    entry(
        FaultPoint::HolderAfterDisk,
        "holder-after-disk",
        "store-committed=die",
    ),
    entry(
        FaultPoint::HolderBeforeWord,
        "holder-before-word",
        "holder-says=die",
    ),
    entry(FaultPoint::HolderStalled, "holder-stalled", ""),
    entry(FaultPoint::HolderCut, "holder-cut", ""),
    entry(FaultPoint::Successor, "successor", ""),
];

/// A fault that can be planted in the daemons, so that the rules have something to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plant {
    /// Its name on the command line.
    pub name: &'static str,
    /// The daemon's fail point.
    pub armed: &'static str,
    /// What the daemons do wrong.
    pub effect: &'static str,
}

/// All faults that can be planted.
pub const PLANTS: [Plant; 3] = [
    Plant {
        name: "credit",
        armed: "plant-credit=fail",
        effect: "an answer before the entry is replicated",
    },
    Plant {
        name: "skip",
        armed: "plant-skip=fail",
        effect: "a catch-up that skips missing entries",
    },
    Plant {
        name: "no-fence",
        armed: "plant-no-fence=fail",
        effect: "a replaced process that goes on committing",
    },
];
