//! Limits on the answers of endpoints: memory, pace, and the splitting of streams.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use onyxstile_system::answer_memory::{AnswerMemory, HeldBuffer, MemoryExhausted, SMALL_ANSWER_BYTES};
use onyxstile_system::clock::Instant;
use onyxstile_system::read_pace::ReadPace;
use onyxstile_system::role::metered_socket::{MeteredSocket, ReadMeter};
use onyxstile_system::sse::Splitter;
use support::tier::run_test;
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

const MEMORY_LIMIT: usize = 64 << 20;

/// Guards against answers that are small and correct, and fail because large ones have taken all the memory.
#[test]
fn large_answers_leave_memory_for_small_ones() {
    let memory = AnswerMemory::new(MEMORY_LIMIT);
    let mut large = Vec::new();
    loop {
        let mut held = memory.holder();
        if held.resize(1 << 20).is_err() {
            break;
        }
        large.push(held);
    }
    assert!(memory.used_bytes() <= memory.max_bytes());
    let mut small: Vec<_> = (0..48).map(|_| memory.holder()).collect();
    for held in &mut small {
        held.resize(SMALL_ANSWER_BYTES).expect("memory for a small answer");
    }
    assert_eq!(
        small[0].resize(SMALL_ANSWER_BYTES + 1),
        Err(MemoryExhausted),
        "it is no small answer any more"
    );
    drop((large, small));
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against memory that counts as free while a slow client has not read it.
#[test]
fn memory_is_given_back_with_the_last_reference_to_the_bytes() {
    let memory = AnswerMemory::new(MEMORY_LIMIT);
    let mut buffer = HeldBuffer::new(memory.holder());
    for _ in 0..1000 {
        buffer.push(b"0123456789").expect("memory");
    }
    let bytes = buffer.freeze();
    let part = bytes.slice(5..15);
    drop(bytes);
    assert!((10_000..=20_000).contains(&memory.used_bytes()), "{}", memory.used_bytes());
    assert_eq!(&part[..], b"5678901234");
    drop(part);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against endless answers that take all the time of a process, however many there are.
#[test]
fn all_large_answers_together_are_read_at_a_limited_rate() {
    const PIECE: usize = 64 * 1024;
    for answers in [1, 10, 100] {
        let (mut pace, mut read) = (ReadPace::default(), 0);
        let mut ready = vec![Instant::default(); answers];
        for ms in 0..1000 {
            let now = Instant::from_millis(ms);
            for ready in ready.iter_mut().filter(|ready| **ready <= now) {
                *ready = now + pace.delay(now, PIECE);
                read += PIECE;
            }
        }
        assert!((30 << 20..44 << 20).contains(&read), "{answers} answers: {read} bytes in a second");
    }
    let mut pace = ReadPace::default();
    assert_eq!(pace.delay(Instant::from_millis(5000), 1 << 20), Duration::ZERO, "a rest can be made up for");
}

/// Guards against work for each piece that grows with what came before it.
#[test]
fn an_incomplete_event_is_searched_once() {
    let began = std::time::Instant::now();
    let mut splitter = Splitter::default();
    while !splitter.is_over_limit() {
        assert!(splitter.push(b"x").is_empty());
    }
    // A search from the start for each byte takes minutes, with optimisation too.
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// Guards against an id without end, which would be sent in a header.
#[test]
fn an_event_id_is_bounded() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(format!("id: {}\n\n", "1".repeat(100)).as_bytes()).len(), 1);
    assert!(!splitter.is_over_limit());
    splitter.push(format!("id: {}\n\n", "1".repeat(100_000)).as_bytes());
    assert!(splitter.is_over_limit());
}

/// A source that always has bytes ready.
struct Endless;

impl AsyncRead for Endless {
    fn poll_read(
        self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let length = buffer.remaining();
        buffer.put_slice(&vec![b'0'; length]);
        std::task::Poll::Ready(Ok(()))
    }
}

/// Counts the turns of a task that is always ready.
async fn count_turns(turns: Rc<Cell<u32>>) {
    std::future::poll_fn(|context| {
        turns.set(turns.get() + 1);
        context.waker().wake_by_ref();
        std::task::Poll::<()>::Pending
    })
    .await;
}

/// Guards against a thread that is never handed back to others, and against bytes without end that form nothing.
#[test]
fn a_source_that_always_has_bytes_hands_the_thread_back_and_ends() {
    const MAX: usize = 1 << 20;
    run_test(async {
        let meter = ReadMeter::new(MAX);
        let mut socket = MeteredSocket::new(Endless, meter.clone());
        let reader = tokio::task::spawn_local(async move {
            let (mut read, mut buffer) = (0, [0; 8192]);
            while let Ok(count) = socket.read(&mut buffer).await {
                read += count;
            }
            read
        });
        let turns = Rc::new(Cell::new(0));
        let other = tokio::task::spawn_local(count_turns(turns.clone()));
        let read = reader.await.expect("no panic");
        other.abort();
        assert!(turns.get() >= 8, "{} turns of another task", turns.get());
        assert!(read <= MAX);
        assert!(meter.is_exceeded());
    });
}

/// Guards against a meter that ends what makes progress.
#[test]
fn whole_units_are_read_without_end() {
    run_test(async {
        let meter = ReadMeter::new(10_000);
        let mut socket = MeteredSocket::new(Endless, meter.clone());
        let mut buffer = [0; 8192];
        for _ in 0..1000 {
            socket.read_exact(&mut buffer).await.expect("bytes");
            meter.progress();
        }
        assert!(!meter.is_exceeded());
    });
}
