//! Idle connections to real servers, the one used last first.

use crate::core::ServerNo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(250);

/// What a pool keeps.
pub trait Pooled {
    /// Its connection.
    fn stream(&mut self) -> &mut TcpStream;
    /// Whether something has come on it that nobody asked for.
    fn has_more(&self) -> bool;
}

#[derive(Debug)]
struct Idle<C> {
    connection: C,
    since: Instant,
}

impl<C: Pooled> Idle<C> {
    /// Whether it may carry another call: young enough, and the other side has neither closed it nor said
    /// anything unasked.
    fn stands(&mut self, keep: Duration) -> bool {
        let mut unread = || self.connection.stream().try_read(&mut [0; 1]);
        self.since.elapsed() < keep && matches!(unread(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Idle connections, each kept for some time.
#[derive(Debug)]
pub struct Pool<C> {
    idle: RefCell<BTreeMap<ServerNo, Vec<Idle<C>>>>,
    keep: Duration,
    most: usize,
}

impl<C: Pooled> Pool<C> {
    /// Nothing yet; over all real servers, `most` connections are kept at most.
    pub fn new(keep: Duration, most: usize) -> Self {
        Pool { idle: RefCell::default(), keep, most }
    }

    /// The connection used last, if it still stands.
    pub fn take(&self, server: ServerNo) -> Option<C> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&server)?;
        while let Some(mut last) = list.pop() {
            if last.stands(self.keep) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose call is over.
    pub fn put(&self, server: ServerNo, connection: C) {
        let mut idle = self.idle.borrow_mut();
        if !connection.has_more() && idle.values().map(Vec::len).sum::<usize>() < self.most {
            idle.entry(server).or_default().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes the idle connections to a real server.
    pub fn release(&self, server: ServerNo) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes idle connections in time, for as long as the program runs.
    pub async fn sweep(&self) {
        loop {
            sleep(SWEEP).await;
            self.idle.borrow_mut().retain(|_, list| {
                list.retain_mut(|i| i.stands(self.keep));
                !list.is_empty()
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    struct Plain(TcpStream);

    impl Pooled for Plain {
        fn stream(&mut self) -> &mut TcpStream {
            &mut self.0
        }
        fn has_more(&self) -> bool {
            false
        }
    }

    #[test]
    fn a_connection_closed_spoken_on_or_too_old_is_not_used_again() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let pair = async || {
                let ours = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
                (Plain(ours), listener.accept().await.unwrap().0)
            };
            let (pool, server) = (Pool::new(Duration::from_millis(300), 8), ServerNo(1));
            let ((good, _theirs), (closed, gone)) = (pair().await, pair().await);
            let (spoken, mut other) = pair().await;
            let port = good.0.local_addr().unwrap();
            [good, closed, spoken].into_iter().for_each(|c| pool.put(server, c));
            drop(gone);
            other.write_all(b"421 bye\r\n").await.unwrap();
            sleep(Duration::from_millis(100)).await;
            let again = pool.take(server).unwrap();
            assert_eq!(again.0.local_addr().unwrap(), port);
            assert!(pool.take(server).is_none());
            pool.put(server, again);
            sleep(Duration::from_millis(350)).await;
            assert!(pool.take(server).is_none());
        });
    }
}
