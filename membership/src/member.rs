//! The state of each member, and the order in which claims override each other.

use crate::{Id, PeerIndex, ProcessId};
use serde::{Deserialize, Serialize};

/// The state of a member. Among claims about one process and incarnation, the greater state overrides the lesser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is running.
    Alive,
    /// The member did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion before its timeout.
    Dead,
    /// The member announced its shutdown.
    Left,
}

/// A claim about a member. A claim about a later process overrides claims about earlier processes. Among claims about
/// one process, a higher incarnation overrides a lower one. Among claims with the same incarnation, the greater state
/// overrides the lesser. Only the member itself raises its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The process that the claim is about.
    pub process: ProcessId,
    /// The number of refutations by that process.
    pub incarnation: u32,
    /// The claimed state.
    pub state: MemberState,
}

/// A change of the current claim about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The index of the member whose state has changed.
    pub peer: PeerIndex,
    /// The previous claim; `None` if there was no claim about the member before.
    pub old: Option<Claim>,
    /// The current claim.
    pub new: Claim,
}

/// The names of a member and of its machine, as the member reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Names {
    /// The member's name.
    pub name: String,
    /// The name of the machine that it runs on.
    pub machine: String,
}

/// A member as seen by this proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// The member's id; `None` if nothing has been received from the member yet.
    pub id: Option<Id>,
    /// The names that the member reports; `None` before they are known.
    pub names: Option<Names>,
    /// The current claim about the member; `None` if there is none yet.
    pub claim: Option<Claim>,
}

impl Member {
    /// Returns whether the member is believed to be up. A suspect counts as up until its suspicion times out.
    pub fn is_up(&self) -> bool {
        matches!(
            self.claim,
            Some(Claim {
                state: MemberState::Alive | MemberState::Suspect,
                ..
            })
        )
    }

    /// Replaces the current claim if the given claim overrides it. Returns whether the claim was replaced.
    pub(crate) fn apply_claim(&mut self, claim: Claim) -> bool {
        let overrides = Some(claim) > self.claim;
        if overrides {
            self.claim = Some(claim);
        }
        overrides
    }
}
