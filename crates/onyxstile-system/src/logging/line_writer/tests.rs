//! Tests of the log's writer.

use std::io;
use std::sync::mpsc;

use super::*;

/// Time that no test needs; a wait that is not over by then has failed.
const FOREVER: Duration = Duration::from_secs(60);

/// An output whose writes each wait for a decision of the test.
struct Gated {
    decisions: mpsc::Receiver<io::Result<()>>,
    written: mpsc::Sender<String>,
}

impl Write for Gated {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.decisions.recv().map_err(io::Error::other)??;
        self.written.send(String::from_utf8_lossy(bytes).into_owned()).ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gated() -> (LineWriter, mpsc::Sender<io::Result<()>>, mpsc::Receiver<String>) {
    let (decide, decisions) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    (LineWriter::start(Gated { decisions, written }), decide, lines)
}

#[test]
fn lines_are_written_in_order() {
    let (writer, decide, lines) = gated();
    for line in ["one", "two"] {
        writer.push(line.into());
        decide.send(Ok(())).expect("the thread runs");
    }
    writer.flush(FOREVER);
    assert_eq!(lines.try_iter().collect::<Vec<_>>(), ["one\n", "two\n"]);
    assert_eq!(writer.lost(), 0);
}

/// Guards against a log that fills the memory or stops the process while nobody reads it.
#[test]
fn lines_that_find_no_place_are_lost_and_counted() {
    let (writer, decide, lines) = gated();
    (0..2 * QUEUE_LINES).for_each(|number| writer.push(number.to_string()));
    writer.flush(Duration::ZERO);
    let lost = writer.lost() as usize;
    // The thread may have taken up to one full queue out of it.
    assert!(lost <= QUEUE_LINES, "{lost}");
    writer.push("last".into());
    (0..4 * QUEUE_LINES).for_each(|_| drop(decide.send(Ok(()))));
    writer.flush(FOREVER);
    let lines = lines.try_iter().filter(|line| !line.starts_with("WARN")).count();
    assert_eq!(lines + writer.lost() as usize, 2 * QUEUE_LINES + 1);
}

/// Guards against an end of the process by a log that is not accepted.
#[test]
fn a_refused_line_is_counted_and_reported_with_the_next_one() {
    let (writer, decide, lines) = gated();
    writer.push("refused".into());
    decide.send(Err(io::ErrorKind::BrokenPipe.into())).expect("the thread runs");
    writer.flush(FOREVER);
    assert_eq!(writer.lost(), 1);
    writer.push("next".into());
    (0..2).for_each(|_| decide.send(Ok(())).expect("the thread runs"));
    writer.flush(FOREVER);
    let lines: Vec<String> = lines.try_iter().collect();
    assert!(lines[0].contains("1 log lines were lost"), "{lines:?}");
    assert_eq!(lines[1], "next\n");
}
