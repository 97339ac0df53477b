//! What is believed of each member, and which claim beats which.

use crate::{Id, Peer, ProcessId};
use serde::{Deserialize, Serialize};

/// What is claimed of a member, in the order in which claims of one process and incarnation beat each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It runs.
    Alive,
    /// It did not answer, and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it ends.
    Left,
}

/// A claim on a member. One of a later process beats all others; in one process that of the higher incarnation, which the
/// member alone may raise; in one incarnation the worse one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Its process.
    pub process: ProcessId,
    /// How often it has refuted in that process.
    pub incarnation: u32,
    /// What it is claimed to be.
    pub standing: Standing,
}

/// A change of what is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whose.
    pub peer: Peer,
    /// The claim before; none: nothing was known of it.
    pub old: Option<Claim>,
    /// The claim that is believed now.
    pub new: Claim,
}

/// A member as this proxy sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// Who it says it is; none: it was never heard.
    pub id: Option<Id>,
    /// Its name and its machine, as it says them.
    pub names: Option<(String, String)>,
    /// What is believed of it; none: nothing yet.
    pub claim: Option<Claim>,
}

impl Member {
    /// Whether it is believed to run: a suspect is, until its time is over.
    pub fn is_up(&self) -> bool {
        matches!(
            self.claim,
            Some(Claim {
                standing: Standing::Alive | Standing::Suspect,
                ..
            })
        )
    }

    /// Takes a claim if it beats the one that is believed.
    pub(crate) fn believe(&mut self, claim: Claim) -> Option<Option<Claim>> {
        (Some(claim) > self.claim).then(|| self.claim.replace(claim))
    }
}
