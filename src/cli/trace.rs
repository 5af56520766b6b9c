//! `onyxstile trace …`: the tools for traces.

use super::{Done, Failed};
use argh::FromArgs;
use onyxstile_trace::anonymise::{Anonymiser, anonymise};
use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::summary::Summary;
use onyxstile_trace::verify::verify;
use onyxstile_trace::{Error, Options, Reader, cut, merge, sample, text};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Read, count, cut, merge, check and draw traces.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Cat(Cat),
    Summarise(Summarise),
    Cut(Cut),
    Merge(Merge),
    Anonymise(Anonymise),
    Verify(Verify),
    Repair(Repair),
    Plot(Plot),
    Sample(Sample),
}

/// Write a trace's events, one a line.
#[derive(FromArgs)]
#[argh(subcommand, name = "cat")]
struct Cat {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// text or json (one object a line)
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
    /// from this time on: RFC 3339 in UTC, a clock time of the day on which the trace begins, or Unix seconds
    #[argh(option)]
    from: Option<String>,
    /// up to this time
    #[argh(option)]
    to: Option<String>,
    /// only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
    /// only of the flow with this number
    #[argh(option)]
    flow: Option<u64>,
    /// only of the flow with this id
    #[argh(option, default = "String::new()")]
    id: String,
    /// only events of this name; may be given again
    #[argh(option)]
    event: Vec<String>,
}

/// Count what became of flows, by class, customer, destination, server and span of time.
#[derive(FromArgs)]
#[argh(subcommand, name = "summarise")]
struct Summarise {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// text, json or csv
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
    /// length of a span, seconds
    #[argh(option, default = "60.0")]
    window: f64,
    /// names of each sort at most; more are counted together
    #[argh(option, default = "100_000")]
    names: usize,
    /// from this time on
    #[argh(option)]
    from: Option<String>,
    /// up to this time
    #[argh(option)]
    to: Option<String>,
    /// only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
    /// only rows by this: class, customer, destination, server or window (text and csv); may be given again
    #[argh(option)]
    by: Vec<String>,
}

/// Write a part of a trace: a piece by numbers or times, which can be merged again, or an extract of some flows.
#[derive(FromArgs)]
#[argh(subcommand, name = "cut")]
struct Cut {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// where the part goes
    #[argh(option)]
    output: PathBuf,
    /// from the event of this number on
    #[argh(option)]
    from_event: Option<u64>,
    /// up to this event, itself left out
    #[argh(option)]
    to_event: Option<u64>,
    /// from this time on
    #[argh(option)]
    from: Option<String>,
    /// up to this time
    #[argh(option)]
    to: Option<String>,
    /// an extract: only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// an extract: only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
    /// an extract: only of the flow with this number
    #[argh(option)]
    flow: Option<u64>,
    /// an extract: only of the flow with this id
    #[argh(option, default = "String::new()")]
    id: String,
}

/// Join pieces of one trace again, or several relays' traces into one by time. Exits with 1 if something was missing
/// or doubled, which is said on standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "merge")]
struct Merge {
    /// the traces
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// where the result goes
    #[argh(option)]
    output: PathBuf,
    /// NAME=MS: what to add to the times of the relay of that name; may be given again
    #[argh(option)]
    shift: Vec<String>,
}

/// Replace the names in a trace by keyed digests.
#[derive(FromArgs)]
#[argh(subcommand, name = "anonymise")]
struct Anonymise {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// where the result goes
    #[argh(option)]
    output: PathBuf,
    /// a file with the key; without it one is made and forgotten
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// addresses of one network stay in one network
    #[argh(switch)]
    keep_networks: bool,
}

/// Check a trace's structure, and the rules by what it tells. Exits with 1 if anything is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
struct Verify {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
}

/// Write a trace anew from what can be read of it, with an index.
#[derive(FromArgs)]
#[argh(subcommand, name = "repair")]
struct Repair {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// where the result goes
    #[argh(option)]
    output: PathBuf,
}

/// Draw charts of a trace. The program onyxstile-plot, which stands beside this one, does it.
#[derive(FromArgs)]
#[argh(subcommand, name = "plot")]
struct Plot {
    /// the trace
    #[argh(positional)]
    file: PathBuf,
    /// worth, latency, refusals, health or ladder
    #[argh(option, default = "String::from(\"worth\")")]
    chart: String,
    /// where the chart goes (SVG)
    #[argh(option)]
    output: PathBuf,
    /// the flow of a ladder
    #[argh(option)]
    flow: Option<u64>,
    /// only of this destination
    #[argh(option, default = "String::new()")]
    destination: String,
    /// only of this customer
    #[argh(option, default = "String::new()")]
    customer: String,
}

/// Write a made-up trace to try the tools on.
#[derive(FromArgs)]
#[argh(subcommand, name = "sample")]
struct Sample {
    /// where it goes
    #[argh(positional)]
    output: PathBuf,
    /// the same seed gives the same trace
    #[argh(option, default = "1")]
    seed: u64,
    /// flows that are handed in
    #[argh(option, default = "1000")]
    flows: u64,
    /// customers that they come from
    #[argh(option, default = "50")]
    customers: u64,
    /// the relay's name
    #[argh(option, default = "String::from(\"relay-a\")")]
    relay: String,
}

impl Trace {
    /// Does it.
    pub fn run(self) -> Done {
        match self.command {
            Command::Cat(c) => c.run(),
            Command::Summarise(c) => c.run(),
            Command::Cut(c) => c.run(),
            Command::Merge(c) => c.run(),
            Command::Anonymise(c) => c.run(),
            Command::Verify(c) => c.run(),
            Command::Repair(c) => c.run(),
            Command::Plot(c) => c.run(),
            Command::Sample(c) => c.run(),
        }
    }
}

fn open(path: &Path) -> Result<Reader<File>, Failed> {
    let named = |e: &dyn std::fmt::Display| Failed::unreadable(format!("{}: {e}", path.display()));
    Reader::open(File::open(path).map_err(|e| named(&e))?).map_err(|e| named(&e))
}

/// Writes a file whole or not at all: under another name first.
fn create(path: &Path, fill: impl FnOnce(BufWriter<File>) -> Result<(), Error>) -> Result<(), Failed> {
    let named = |e: &dyn std::fmt::Display| Failed::unreadable(format!("{}: {e}", path.display()));
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let file = File::create(&beside).map_err(|e| named(&e))?;
    let done = fill(BufWriter::new(file)).map_err(|e| named(&e));
    let done = done.and_then(|()| std::fs::rename(&beside, path).map_err(|e| named(&e)));
    if done.is_err() {
        let _ = std::fs::remove_file(&beside);
    }
    done
}

/// Tells on a terminal how far long work is.
struct Shown {
    last: Instant,
    on: bool,
    written: bool,
}

impl Shown {
    fn new() -> Shown {
        Shown { last: Instant::now(), on: std::io::stderr().is_terminal(), written: false }
    }

    fn tell(&mut self, of: u64, done: u64) {
        if self.on && self.last.elapsed() > Duration::from_millis(500) {
            (self.last, self.written) = (Instant::now(), true);
            let _ = write!(std::io::stderr(), "\r{:3} %", done.min(of) * 100 / of.max(1));
        }
    }
}

impl Drop for Shown {
    fn drop(&mut self) {
        if self.written {
            let _ = write!(std::io::stderr(), "\r     \r");
        }
    }
}

/// What was found wrong with a file goes to standard error.
fn say(reader: &Reader<File>) {
    reader.troubles().iter().for_each(|t| eprintln!("onyxstile: {t}"));
}

fn moment(given: &Option<String>, near: u64) -> Result<Option<u64>, Failed> {
    let Some(given) = given else { return Ok(None) };
    let read = text::read_time(given, near);
    read.map(Some).ok_or_else(|| Failed::unreadable(format!("`{given}` is no time")))
}

/// A broken pipe is the reader's way to say that it has enough.
fn unless_closed(done: Result<(), Error>) -> Result<(), Failed> {
    match done {
        Err(Error::Io(e)) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other?),
    }
}

impl Cat {
    fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let start = reader.header().start_us;
        let mut wanted = Selection {
            from: moment(&self.from, start)?,
            to: moment(&self.to, start)?,
            destination: self.destination,
            customer: self.customer,
            flow: self.flow,
            id: self.id,
            ..Selection::default()
        };
        self.event.iter().try_for_each(|name| wanted.add_event(name)).map_err(Failed::unreadable)?;
        let as_json = match self.format.as_str() {
            "json" => true,
            "text" => false,
            other => return Err(Failed::unreadable(format!("`{other}` is neither `text` nor `json`"))),
        };
        let header = reader.header().clone();
        let mut out = BufWriter::new(std::io::stdout().lock());
        let mut shown = Shown::new();
        shown.on &= !std::io::stdout().is_terminal();
        let done = each(&mut reader, &wanted, &mut |of, at| shown.tell(of, at), &mut |n, _, event| {
            let line =
                if as_json { text::json_line(&header, n, &event) } else { text::line(&header, n, &event) };
            Ok(writeln!(out, "{line}")?)
        });
        unless_closed(done.and_then(|()| Ok(out.flush()?)))?;
        drop(shown);
        say(&reader);
        Ok(ExitCode::SUCCESS)
    }
}

impl Summarise {
    fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let start = reader.header().start_us;
        let wanted = Selection {
            from: moment(&self.from, start)?,
            to: moment(&self.to, start)?,
            destination: self.destination,
            customer: self.customer,
            ..Selection::default()
        };
        if !(self.window > 0.0 && self.window < 1e9) {
            return Err(Failed::unreadable("--window has to be a number of seconds above 0"));
        }
        let window = (self.window * 1e6) as u64;
        let mut summary = Summary::new(window, self.names.max(1), reader.header().sampled);
        let mut shown = Shown::new();
        each(&mut reader, &wanted, &mut |of, at| shown.tell(of, at), &mut |_, _, event| {
            summary.add(start + event.at_us, &event);
            Ok(())
        })?;
        drop(shown);
        summary.close();
        let written = match self.format.as_str() {
            "json" => serde_json::to_string_pretty(&summary)? + "\n",
            "csv" => summary.csv(&self.by),
            "text" => summary.text(&self.by),
            other => return Err(Failed::unreadable(format!("`{other}` is none of `text`, `json`, `csv`"))),
        };
        unless_closed(std::io::stdout().write_all(written.as_bytes()).map_err(Error::from))?;
        say(&reader);
        Ok(ExitCode::SUCCESS)
    }
}

impl Cut {
    fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let start = reader.header().start_us;
        let (from, to) = (moment(&self.from, start)?, moment(&self.to, start)?);
        let of_some = !self.destination.is_empty()
            || !self.customer.is_empty()
            || self.flow.is_some()
            || !self.id.is_empty();
        let by_number = self.from_event.is_some() || self.to_event.is_some();
        if by_number && (of_some || from.is_some() || to.is_some()) {
            return Err(Failed::unreadable("a cut is by numbers, or by times and names"));
        }
        let mut shown = Shown::new();
        let mut result = cut::Done::default();
        create(&self.output, |out| {
            let progress: &mut dyn FnMut(u64, u64) = &mut |of, at| shown.tell(of, at);
            result = if of_some {
                let (destination, customer) = (self.destination, self.customer);
                let wanted = Selection {
                    from,
                    to,
                    destination,
                    customer,
                    flow: self.flow,
                    id: self.id,
                    ..Selection::default()
                };
                cut::extract(&mut reader, &wanted, out, progress)?
            } else {
                let mut range = cut::extent(&mut reader)?;
                if by_number {
                    range = (self.from_event.unwrap_or(range.0), self.to_event.unwrap_or(range.1));
                } else if from.is_some() || to.is_some() {
                    range = cut::numbers_of_time(&mut reader, from, to)?;
                }
                cut::range(&mut reader, range, out, progress)?
            };
            Ok(())
        })?;
        drop(shown);
        say(&reader);
        eprintln!("{} events, {} to {}", result.events, result.range.0, result.range.1);
        Ok(ExitCode::SUCCESS)
    }
}

impl Merge {
    fn run(self) -> Done {
        let mut shifts = BTreeMap::new();
        for shift in &self.shift {
            let read = shift.rsplit_once('=').and_then(|(n, ms)| Some((n, ms.parse::<f64>().ok()?)));
            let (name, ms) =
                read.ok_or_else(|| Failed::unreadable(format!("`{shift}` is no name with milliseconds")))?;
            shifts.insert(name.to_string(), (ms * 1e3) as i64);
        }
        let mut shown = Shown::new();
        let mut done = merge::Done::default();
        create(&self.output, |out| {
            done = merge::merge(&self.files, &shifts, out, &mut |of, at| shown.tell(of, at))?;
            Ok(())
        })?;
        drop(shown);
        done.said.iter().for_each(|line| eprintln!("onyxstile: {line}"));
        eprintln!("{} events", done.events);
        Ok(if done.said.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }
}

impl Anonymise {
    fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let key = match &self.key_file {
            Some(path) => {
                std::fs::read(path).map_err(|e| Failed::unreadable(format!("{}: {e}", path.display())))?
            }
            // Kernel's randomness; nobody can make the same digests again.
            None => {
                let mut key = [0; 32];
                std::io::Read::read_exact(&mut File::open("/dev/urandom")?, &mut key)?;
                key.to_vec()
            }
        };
        let mut by = Anonymiser::new(&key, self.keep_networks).map_err(Failed::unreadable)?;
        let mut shown = Shown::new();
        let mut counts = (0, 0);
        create(&self.output, |out| {
            counts = anonymise(&mut reader, &mut by, out, &mut |of, at| shown.tell(of, at))?;
            Ok(())
        })?;
        drop(shown);
        say(&reader);
        if counts.1 > 0 {
            eprintln!("onyxstile: {} events of a newer version were left out", counts.1);
        }
        eprintln!("{} events", counts.0);
        Ok(ExitCode::SUCCESS)
    }
}

impl Verify {
    fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let mut shown = Shown::new();
        let verdict = verify(&mut reader, &mut |of, at| shown.tell(of, at))?;
        drop(shown);
        verdict.structure.iter().for_each(|line| println!("structure: {line}"));
        for broken in &verdict.told {
            println!("event {} at {}: {}", broken.event, text::time(broken.at), broken.what);
        }
        println!(
            "{} events, {} flows taken on, {} ended, {} open at the end, {} attempts, {} events dropped, {} rules broken",
            verdict.events,
            verdict.flows,
            verdict.ended,
            verdict.open,
            verdict.attempts,
            verdict.dropped,
            verdict.broken
        );
        Ok(ExitCode::from(u8::from(!verdict.is_good())))
    }
}

impl Repair {
    fn run(self) -> Done {
        let mut reader = open(&self.file)?;
        let mut shown = Shown::new();
        let mut done = cut::Done::default();
        create(&self.output, |out| {
            done = cut::repair(&mut reader, out, &mut |of, at| shown.tell(of, at))?;
            Ok(())
        })?;
        drop(shown);
        say(&reader);
        eprintln!("{} events", done.events);
        Ok(ExitCode::SUCCESS)
    }
}

impl Plot {
    fn run(self) -> Done {
        let program = std::env::current_exe()?.with_file_name("onyxstile-plot");
        let mut command = std::process::Command::new(&program);
        command.arg(&self.file).arg("--chart").arg(&self.chart).arg("--output").arg(&self.output);
        if let Some(flow) = self.flow {
            command.arg("--flow").arg(flow.to_string());
        }
        for (name, value) in [("--destination", &self.destination), ("--customer", &self.customer)] {
            if !value.is_empty() {
                command.arg(name).arg(value);
            }
        }
        let status = command
            .status()
            .map_err(|e| Failed::unreadable(format!("{}: {e}; `make build` builds it", program.display())))?;
        Ok(ExitCode::from(status.code().and_then(|c| u8::try_from(c).ok()).unwrap_or(1)))
    }
}

impl Sample {
    fn run(self) -> Done {
        let wanted = sample::Wanted {
            customers: self.customers.max(1),
            relay: self.relay,
            ..sample::Wanted::of(self.seed, self.flows)
        };
        create(&self.output, |out| {
            sample::sample(&wanted, out, Options::default())?;
            Ok(())
        })?;
        Ok(ExitCode::SUCCESS)
    }
}
