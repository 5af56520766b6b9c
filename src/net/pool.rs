//! Idle connections to real servers, the one used last first.

use super::socket::{Unread, unread};
use crate::core::ServerNo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Idle time up to which a connection is always used again, and the time after which a doubt is half as large.
const TRUST_LEAST: Duration = Duration::from_millis(5);
const TRUST_AGAIN: Duration = Duration::from_secs(4);
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
    ///
    /// Guards once-only flows: the socket itself is asked. The runtime's own reads go by what it last heard of
    /// the socket, and a close that came while this thread was busy is not among that; a call written to such
    /// a connection breaks, and may have run for all that anyone knows.
    fn stands(&mut self, keep: Duration) -> bool {
        self.since.elapsed() < keep && unread(self.connection.stream()) == Unread::Nothing
    }
}

/// Idle connections, each kept for some time.
#[derive(Debug)]
pub struct Pool<C> {
    idle: RefCell<BTreeMap<ServerNo, Vec<Idle<C>>>>,
    keep: Duration,
    most: usize,
    /// Idle time after which a call last broke at once, halved, and when that was.
    broke: Cell<Option<(Duration, Instant)>>,
}

impl<C: Pooled> Pool<C> {
    /// Nothing yet; over all real servers, `most` connections are kept at most.
    pub fn new(keep: Duration, most: usize) -> Self {
        Pool { idle: RefCell::default(), keep, most, broke: Cell::new(None) }
    }

    /// The connection used last, if it still stands, and how long it was idle.
    pub fn take(&self, server: ServerNo) -> Option<(C, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let (list, trusted) = (idle.get_mut(&server)?, self.trusted());
        while let Some(mut last) = list.pop() {
            if last.stands(trusted) {
                return Some((last.connection, last.since.elapsed()));
            }
        }
        None
    }

    /// How long a connection may have been idle. Guards once-only flows where something between drops idle
    /// connections unseen, or the other side does sooner than it says: what breaks a call after some time makes
    /// half of that time the limit, which doubles again with each `TRUST_AGAIN` without another break.
    fn trusted(&self) -> Duration {
        let Some((least, at)) = self.broke.get() else { return self.keep };
        let doubled = (at.elapsed().as_secs_f64() / TRUST_AGAIN.as_secs_f64()).min(30.0);
        least.mul_f64(doubled.exp2()).min(self.keep)
    }

    /// A call on a connection that had been idle for so long broke at once.
    pub fn broke(&self, idle: Duration) {
        let least = (idle / 2).min(self.trusted()).max(TRUST_LEAST);
        self.broke.set(Some((least, Instant::now())));
    }

    /// Keeps a connection whose call is over.
    pub fn put(&self, server: ServerNo, connection: C) {
        self.put_aged(server, connection, Duration::ZERO);
    }

    /// Keeps a connection that has been idle for so long.
    pub fn put_aged(&self, server: ServerNo, connection: C, age: Duration) {
        let mut idle = self.idle.borrow_mut();
        if !connection.has_more() && idle.values().map(Vec::len).sum::<usize>() < self.most {
            idle.entry(server).or_default().push(Idle { connection, since: Instant::now() - age });
        }
    }

    /// Takes all out that still stand, each with how long it has been idle.
    pub fn take_all(&self) -> Vec<(ServerNo, C, Duration)> {
        let all = self.idle.take().into_iter().flat_map(|(no, list)| list.into_iter().map(move |i| (no, i)));
        let all =
            all.filter_map(|(no, mut i)| i.stands(self.keep).then(|| (no, i.connection, i.since.elapsed())));
        all.collect()
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
            let again = pool.take(server).unwrap().0;
            assert_eq!(again.0.local_addr().unwrap(), port);
            assert!(pool.take(server).is_none());
            pool.put(server, again);
            sleep(Duration::from_millis(350)).await;
            assert!(pool.take(server).is_none());
        });
    }

    #[test]
    fn a_close_that_came_while_the_thread_was_busy_is_seen() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let ours = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let theirs = listener.accept().unwrap().0;
            let pool = Pool::new(Duration::from_secs(9), 8);
            pool.put(ServerNo(1), Plain(ours));
            drop(theirs);
            // No wait: the runtime hears nothing of it.
            std::thread::sleep(Duration::from_millis(50));
            assert!(pool.take(ServerNo(1)).is_none());
        });
    }

    #[test]
    fn a_break_after_some_idle_time_makes_older_connections_suspect_for_a_while() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let ours = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let _theirs = listener.accept().unwrap().0;
            let pool = Pool::new(Duration::from_secs(9), 8);
            pool.put(ServerNo(1), Plain(ours));
            pool.broke(Duration::from_millis(60));
            assert!(pool.trusted() < Duration::from_millis(40));
            let (ours, _) = pool.take(ServerNo(1)).expect("one that was used a moment ago");
            pool.put(ServerNo(1), ours);
            sleep(Duration::from_millis(60)).await;
            assert!(pool.take(ServerNo(1)).is_none());
            pool.broke.set(Some((TRUST_LEAST, Instant::now() - TRUST_AGAIN * 12)));
            assert_eq!(pool.trusted(), Duration::from_secs(9));
        });
    }
}
