//! Connections come, and go for each other's sake.

use super::*;

impl Edge {
    /// Goes on with a connection that was parked.
    pub fn adopt(self: &Rc<Self>, parked: ParkedEdge) {
        let ParkedEdge { stream, note } = parked;
        let peer = stream.peer_addr().map(|a| a.ip());
        if let (Ok(stream), Ok(peer)) = (TcpStream::from_std(stream), peer) {
            self.begin(stream, peer, note);
        }
    }

    fn begin(self: &Rc<Self>, stream: TcpStream, peer: IpAddr, note: EdgeNote) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let connection = Rc::new(Connection {
            peer,
            since: Instant::now(),
            served: Cell::new(note.served),
            bound: Cell::new(false),
            close: Notify::new(),
        });
        self.open.borrow_mut().insert(number, connection.clone());
        let (edge, busy) = (self.clone(), self.parts.parking.busy());
        tokio::task::spawn_local(async move {
            edge.attend(stream, note, number, &connection, busy).await;
            edge.forget(number);
        });
    }

    /// Accepts connections until the program stops, or another process is to go on with that.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let busy = self.parts.parking.busy();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.parts.phase.reached(State::Stopped) => return self.accept_last(listener),
                () = self.parts.parking.opened() => {
                    self.parts.parking.leave_listener(listener.into_std());
                    drop(busy);
                    return;
                }
            };
            match stream {
                Ok((stream, peer)) => {
                    while !self.has_place() {
                        let crowded = self.open.borrow().len() >= self.parts.limits.connections;
                        let one_goes = if crowded { self.make_room() } else { self.cut_closing() };
                        if one_goes {
                            // Let it close.
                            yield_now().await;
                        } else {
                            // All that stand wait for an answer, which comes soon.
                            sleep(Duration::from_millis(1)).await;
                        }
                    }
                    self.begin(stream, peer.ip(), fresh());
                    // Guards usual clients against a flood of connections: each is looked at before the next
                    // is taken.
                    yield_now().await;
                }
                Err(e) => {
                    // Out of descriptors, most likely: give open ones time to close.
                    tracing::warn!("accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Takes what has come and was not looked at yet, and listens no more: whoever comes now is refused a connection and
    /// knows it, while one that stands would have been closed with no answer.
    fn accept_last(self: Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        while self.has_place()
            && let Ok((stream, peer)) = listener.accept()
        {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            stream.into_iter().for_each(|stream| self.begin(stream, peer.ip(), fresh()));
        }
    }

    /// Whether another connection may stand beside those that do, and those that are being closed.
    fn has_place(&self) -> bool {
        let (open, closing) = (self.open.borrow().len(), self.closing.borrow().len());
        let EdgeLimits { connections, closing: over, .. } = self.parts.limits;
        open < connections && open + closing < connections + over
    }

    /// Guards the descriptors: where too many are open, one that waits for nothing goes. First one that never
    /// brought a request, then a new one, then one of whoever holds most, then the oldest; a client comes again
    /// on a new one. False if there is none.
    fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let mut held: BTreeMap<IpAddr, usize> = BTreeMap::new();
        open.values().for_each(|c| *held.entry(c.peer).or_default() += 1);
        let rank =
            |c: &Connection| (c.served.get(), c.since.elapsed() < NEW, Reverse(held.get(&c.peer).copied()));
        let free = open.iter().filter(|(_, c)| !c.bound.get());
        let first = free.min_by_key(|(number, c)| (rank(c), **number));
        if let Some((_, c)) = first {
            c.bound.set(true);
            c.close.notify_one();
        }
        first.is_some()
    }
}

/// Of a connection that has just come.
fn fresh() -> EdgeNote {
    EdgeNote { read: Vec::new(), served: false, left: REQUEST_TIME }
}
