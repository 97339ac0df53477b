//! What is believed of each member, and which claim overrides which.

use crate::{Id, PeerIndex, ProcessId};
use serde::{Deserialize, Serialize};

/// The state of a member, in the order in which claims of one process and incarnation override each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It runs.
    Alive,
    /// It did not answer, and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It announced its shutdown.
    Left,
}

/// A claim about a member. A claim on a later process overrides all others; in one process that of the higher incarnation,
/// which the member alone may raise; in one incarnation the greater state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The member's process.
    pub process: ProcessId,
    /// How often the member has refuted in that process.
    pub incarnation: u32,
    /// The state that is claimed.
    pub state: MemberState,
}

/// A change of what is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub peer: PeerIndex,
    /// The claim before; `None` if nothing was known of the member.
    pub old: Option<Claim>,
    /// The claim that is believed now.
    pub new: Claim,
}

/// The names of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Names {
    /// The member's name.
    pub name: String,
    /// The name of its machine.
    pub machine: String,
}

/// A member as this proxy sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// Its id; `None` if nothing was ever received from it.
    pub id: Option<Id>,
    /// Its names, as it reports them.
    pub names: Option<Names>,
    /// The claim that is believed of it.
    pub claim: Option<Claim>,
}

impl Member {
    /// Returns whether it is believed to run. A suspect is, until its suspicion times out.
    pub fn is_up(&self) -> bool {
        matches!(
            self.claim,
            Some(Claim {
                state: MemberState::Alive | MemberState::Suspect,
                ..
            })
        )
    }

    /// Believes a claim if it overrides the one before. Returns whether it did.
    pub(crate) fn apply_claim(&mut self, claim: Claim) -> bool {
        let overrides = Some(claim) > self.claim;
        if overrides {
            self.claim = Some(claim);
        }
        overrides
    }
}
