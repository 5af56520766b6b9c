//! Hosts onyxstile controllers for the simulator's wire protocol: reads batches from standard input and writes one
//! reply for each to standard output. It only translates; the controllers decide.

mod fields;
mod host;

use fields::{Fields, Malformed};
use host::{Host, ListEntry};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::BufWriter::with_capacity(1 << 16, io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("onyxstile-adapter: {problem}");
            ExitCode::from(2)
        }
    }
}

/// Serves batches until the input ends. An unfinished batch at the end of the input receives no reply.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::new();
    let mut reply = String::new();
    let mut line = Vec::new();
    let mut number = 0u64;
    let mut in_batch = false;
    let mut entries_due = 0usize;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 || line.last() != Some(&b'\n') {
            return Ok(());
        }
        number += 1;
        let located = |what: Malformed| format!("line {number}: {what}");
        line.pop();
        let text =
            std::str::from_utf8(&line).map_err(|_| located(Malformed::new("line", "is not valid UTF-8")))?;
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() && !in_batch {
            continue;
        }
        let mut fields = Fields::new(text);
        let name = fields.word("message name").map_err(located)?;
        if entries_due > 0 {
            if name != "entry" {
                return Err(located(Malformed::new("membersList", "has fewer entries than announced")));
            }
            host.add_entry(ListEntry::parse(&mut fields, number).map_err(located)?);
            entries_due -= 1;
            continue;
        }
        match (name, in_batch) {
            ("frame", false) => {
                host.begin(fields.time("clock").map_err(located)?).map_err(located)?;
                in_batch = true;
            }
            ("frame", true) => return Err(located(Malformed::new("frame", "begins inside an open batch"))),
            ("over_to_you", true) => {
                fields.end().map_err(located)?;
                reply.clear();
                host.finish(&mut reply);
                in_batch = false;
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                sent.map_err(|e| format!("standard output: {e}"))?;
            }
            ("snapshot_rows", true) => entries_due = host.begin_list(&mut fields).map_err(located)?,
            (_, true) => host.event(name, &mut fields).map_err(located)?,
            (_, false) => {
                let what = format!("`{}` is outside a batch", fields::excerpt(name));
                return Err(located(Malformed::new("message name", what)));
            }
        }
    }
}
