//! What controllers say to each other.

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use super::{Ballot, ControlState, ElectorId, Incarnation, Operation, Outcome, Token, View, Write};

/// A write on its way down the chain.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChainUpdate {
    /// The write itself.
    Write(Rc<Write>),
    /// The state that it made, from a member that no longer knows the write: it was started since.
    State(ControlState),
}

impl ChainUpdate {
    /// The sequence of the state that it makes.
    pub fn sequence(&self) -> u64 {
        match self {
            ChainUpdate::Write(write) => write.sequence,
            ChainUpdate::State(state) => state.sequence,
        }
    }
}

/// What controllers say to each other. Every message may be lost, late, doubled or out of order.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// How far the sender is; sent regularly.
    Status {
        /// The sender's identity.
        from: ElectorId,
        /// Its installed view; 0 for none.
        view: u64,
        /// What it knows to be committed.
        committed: u64,
        /// The newest write of that view that is on its disk.
        written: u64,
    },
    /// A decided view, for one that lacks it.
    Installed(Rc<View>),
    /// Asks for a promise for view `view`.
    Prepare {
        /// The number of the view that is to be decided.
        view: u64,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The newest state that the proposer has written in the view before.
        sequence: u64,
    },
    /// A promise not to take part in lower ballots, nor to write in the view before.
    Promise {
        /// Who promises.
        from: ElectorId,
        /// The view that is to be decided.
        view: u64,
        /// The ballot.
        ballot: Ballot,
        /// What the sender has accepted for that view.
        accepted: Option<(Ballot, Rc<View>)>,
        /// The newest state that it has written, if it is newer than the proposer's; in one view states of one sequence
        /// are the same.
        state: Option<ControlState>,
    },
    /// The ballot is too low.
    Refused {
        /// The view that is to be decided.
        view: u64,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// Asks to accept a view.
    Accept {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The proposed view.
        value: Rc<View>,
    },
    /// The view was accepted and synced.
    Accepted {
        /// Who accepted.
        from: ElectorId,
        /// The view's number.
        view: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A write, on its way down the chain.
    Apply {
        /// The view in which it is written.
        view: u64,
        /// What was written.
        written: ChainUpdate,
    },
    /// A write that the tail has synced, on its way up the chain.
    Applied {
        /// The view.
        view: u64,
        /// The write's sequence.
        sequence: u64,
    },
    /// Asks whether a view is still the newest that the receiver takes part in.
    Confirm {
        /// The view.
        view: u64,
        /// The life that asks.
        incarnation: Incarnation,
        /// Tells questions of a life apart.
        nonce: u64,
    },
    /// It is.
    Confirmed {
        /// Who says so.
        from: ElectorId,
        /// The view.
        view: u64,
        /// The life that asked.
        incarnation: Incarnation,
        /// The question's number.
        nonce: u64,
    },
    /// An operation that came to another controller.
    Forward {
        /// Its token.
        token: Token,
        /// What is asked.
        operation: Operation,
    },
    /// The outcome of a forwarded operation.
    Outcome {
        /// Its token.
        token: Token,
        /// How it ended.
        outcome: Outcome,
    },
}
