//! Where tasks leave their sockets when another process is to go on with them.
//!
//! While it is open, each task that holds a socket leaves it here at its next wait, with what belongs to it, and ends.
//! What cannot be cut there counts as busy, and ends by itself soon. If the other process does not go on with them, this
//! one takes the same things up again.

use crate::core::{FlowNo, ServerNo};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A client's connection, between two reads.
#[derive(Debug)]
pub struct ParkedEdge {
    /// The connection.
    pub stream: TcpStream,
    /// What goes with it.
    pub note: EdgeNote,
}

/// What goes with a client's connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeNote {
    /// What was read of a request that is not whole yet.
    pub read: Vec<u8>,
    /// It has had an answer to a request of use.
    pub served: bool,
    /// Time left for the request that has begun.
    pub left: Duration,
}

/// A call that is out, or about to go out.
#[derive(Debug)]
pub struct ParkedCall {
    /// Its connection, once all of its request is written and before anything of the answer was read.
    pub stream: Option<TcpStream>,
    /// What goes with it.
    pub note: CallNote,
}

/// What goes with a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallNote {
    /// The attempts that it carries.
    pub items: Vec<ItemNote>,
    /// The real server.
    pub server: ServerNo,
    /// Its address.
    pub address: SocketAddr,
    /// Time until it is given up.
    pub left: Duration,
    /// Time until all of it has to be written.
    pub write_left: Duration,
    /// Time since it was ordered.
    pub elapsed: Duration,
    /// All of its request is written.
    pub sent: bool,
    /// If nothing of it has been written, it must not be.
    pub held: bool,
    /// Nobody waits for it any more.
    pub stopped: bool,
}

/// An attempt that a call carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemNote {
    /// The flow.
    pub flow: FlowNo,
    /// Number of the attempt.
    pub attempt: u32,
    /// Time until the flow's time is up.
    pub left: Duration,
}

/// An idle connection to a real server.
#[derive(Debug)]
pub struct ParkedIdle {
    /// The connection.
    pub stream: TcpStream,
    /// What goes with it.
    pub note: IdleNote,
}

/// What goes with an idle connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleNote {
    /// The real server.
    pub server: ServerNo,
    /// How long it has been idle.
    pub age: Duration,
}

/// All that was left here.
#[derive(Debug, Default)]
pub struct Parked {
    /// Where clients connect.
    pub listener: Option<TcpListener>,
    /// Clients' connections.
    pub edges: Vec<ParkedEdge>,
    /// Calls.
    pub calls: Vec<ParkedCall>,
    /// Idle connections to real servers.
    pub idle: Vec<ParkedIdle>,
}

/// The place itself, shared by all tasks that hold sockets.
#[derive(Debug, Clone, Default)]
pub struct Parking(Rc<Place>);

#[derive(Debug, Default)]
struct Place {
    open: Cell<bool>,
    opened: Notify,
    busy: Cell<usize>,
    quiet: Notify,
    parked: RefCell<Parked>,
}

/// A task that has a socket which it may have to leave here.
#[derive(Debug)]
pub struct Busy(Rc<Place>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.quiet.notify_one();
    }
}

impl Parking {
    /// From now on sockets are left here.
    pub fn open(&self) {
        self.0.open.set(true);
        self.0.opened.notify_waiters();
    }

    /// From now on they are not; returns all that were.
    pub fn close(&self) -> Parked {
        self.0.open.set(false);
        self.0.parked.take()
    }

    /// Whether sockets are to be left here.
    pub fn is_open(&self) -> bool {
        self.0.open.get()
    }

    /// Returns once they are.
    pub async fn opened(&self) {
        loop {
            let opened = self.0.opened.notified();
            if self.is_open() {
                return;
            }
            opened.await;
        }
    }

    /// Counts a task as busy until what it returns is dropped.
    pub fn busy(&self) -> Busy {
        self.0.busy.set(self.0.busy.get() + 1);
        Busy(self.0.clone())
    }

    /// Whether no task is busy.
    pub fn is_quiet(&self) -> bool {
        self.0.busy.get() == 0
    }

    /// Returns once a task has ended that was busy, or has before.
    pub async fn changed(&self) {
        self.0.quiet.notified().await;
    }

    /// Leaves the socket where clients connect.
    pub fn leave_listener(&self, listener: std::io::Result<TcpListener>) {
        self.0.parked.borrow_mut().listener = listener.ok();
    }

    /// Leaves a client's connection.
    pub fn leave_edge(&self, stream: std::io::Result<TcpStream>, note: EdgeNote) {
        let edge = stream.map(|stream| ParkedEdge { stream, note });
        self.0.parked.borrow_mut().edges.extend(edge);
    }

    /// Leaves a call.
    pub fn leave_call(&self, call: ParkedCall) {
        self.0.parked.borrow_mut().calls.push(call);
    }
}
