//! Messages between controllers.

use std::rc::Rc;

use borsh::{BorshDeserialize, BorshSerialize};

use super::{Ballot, ControlState, ElectorId, Incarnation, Operation, Outcome, Token, View, Write};

/// A write as sent down the chain.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ChainUpdate {
    /// The write itself.
    Write(Rc<Write>),
    /// The resulting state, sent by a member that no longer holds the write because it has restarted.
    State(ControlState),
}

impl ChainUpdate {
    /// The sequence of the resulting state.
    pub fn sequence(&self) -> u64 {
        match self {
            ChainUpdate::Write(write) => write.sequence,
            ChainUpdate::State(state) => state.sequence,
        }
    }
}

/// A message between controllers. Any message may be lost, delayed, duplicated or reordered.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// Periodic progress report.
    Status {
        /// The sender's identity.
        from: ElectorId,
        /// Its installed view; 0 for none.
        view: u64,
        /// The newest sequence that the sender knows to be committed.
        committed: u64,
        /// The newest sequence of that view on the sender's disk.
        written: u64,
    },
    /// A decided view, sent to a machine that lacks it.
    Installed(Rc<View>),
    /// Requests a promise for view number `view`.
    Prepare {
        /// Number of the view to be decided.
        view: u64,
        /// The proposal's ballot.
        ballot: Ballot,
        /// The newest sequence that the proposer has written in the preceding view.
        sequence: u64,
    },
    /// A promise not to take part in lower ballots, nor to write in the preceding view.
    Promise {
        /// The sender's identity.
        from: ElectorId,
        /// Number of the view to be decided.
        view: u64,
        /// The ballot.
        ballot: Ballot,
        /// The value that the sender has accepted for that view.
        accepted: Option<(Ballot, Rc<View>)>,
        /// The sender's newest written state, if newer than the proposer's; within one view, states of the same
        /// sequence are equal.
        state: Option<ControlState>,
    },
    /// The ballot is too low.
    Refused {
        /// Number of the view to be decided.
        view: u64,
        /// The ballot that the sender has promised.
        promised: Ballot,
    },
    /// Requests acceptance of a view.
    Accept {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The proposed view.
        value: Rc<View>,
    },
    /// The view was accepted and synced.
    Accepted {
        /// The sender's identity.
        from: ElectorId,
        /// The view's number.
        view: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// A write travelling down the chain.
    Apply {
        /// The view in which it was written.
        view: u64,
        /// The write or the resulting state.
        written: ChainUpdate,
    },
    /// Acknowledgement of a write synced by the tail, travelling up the chain.
    Applied {
        /// The view.
        view: u64,
        /// Sequence of the write.
        sequence: u64,
    },
    /// Asks whether a view is still the newest that the receiver takes part in.
    Confirm {
        /// The view.
        view: u64,
        /// Incarnation of the requester.
        incarnation: Incarnation,
        /// Distinguishes requests of one incarnation.
        nonce: u64,
    },
    /// Positive answer to `Confirm`.
    Confirmed {
        /// The sender's identity.
        from: ElectorId,
        /// The view.
        view: u64,
        /// Incarnation of the requester.
        incarnation: Incarnation,
        /// Nonce of the request.
        nonce: u64,
    },
    /// An operation submitted to another controller.
    Forward {
        /// Token of the operation.
        token: Token,
        /// The operation.
        operation: Operation,
    },
    /// The outcome of a forwarded operation.
    Outcome {
        /// Token of the operation.
        token: Token,
        /// The outcome.
        outcome: Outcome,
    },
}
