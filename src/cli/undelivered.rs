//! `onyxstile undelivered …`: what a relay keeps of messages that it gave up.

use super::{Done, Failed, Format};
use argh::FromArgs;
use onyxstile::net::control::{self, Answer, Order, What};
use onyxstile::net::owner::item;
use onyxstile::net::undelivered::shelf::{Filter, Shelf};
use onyxstile_undelivered::State;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(15);

/// List, show, resend, hold, discard and export messages that a relay gave up and kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "undelivered")]
pub struct Undelivered {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(List),
    Show(Show),
    Resend(Resend),
    Hold(Hold),
    Discard(Discard),
    Export(Export),
    Stats(Stats),
}

/// List kept messages.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// where messages are kept, if not in `undelivered` there
    #[argh(option)]
    folder: Option<PathBuf>,
    /// only of this destination
    #[argh(option)]
    destination: Option<u64>,
    /// only of this customer
    #[argh(option)]
    customer: Option<String>,
    /// only of this class
    #[argh(option)]
    class: Option<String>,
    /// only in this state: waiting, resending, may-have-run, given-up or held
    #[argh(option)]
    in_state: Option<String>,
    /// text or json (one object a line)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// Show one message with its history.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// its key, as `list` has it
    #[argh(positional)]
    key: u64,
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// where messages are kept, if not in `undelivered` there
    #[argh(option)]
    folder: Option<PathBuf>,
    /// with its body
    #[argh(switch)]
    body: bool,
}

/// Let messages go again. Those that may have run only with --may-have-run.
#[derive(FromArgs)]
#[argh(subcommand, name = "resend")]
struct Resend {
    /// their keys
    #[argh(positional)]
    keys: Vec<u64>,
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// all of this destination
    #[argh(option)]
    destination: Option<u64>,
    /// all of this customer
    #[argh(option)]
    customer: Option<String>,
    /// all in this state
    #[argh(option)]
    in_state: Option<String>,
    /// also those that may have taken effect: they may do so twice
    #[argh(switch)]
    may_have_run: bool,
    /// who says so; it is kept with the message
    #[argh(option)]
    by: Option<String>,
}

/// Set messages aside: nothing is done with them until they are resent by hand.
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
struct Hold {
    /// their keys
    #[argh(positional)]
    keys: Vec<u64>,
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// all of this destination
    #[argh(option)]
    destination: Option<u64>,
    /// all of this customer
    #[argh(option)]
    customer: Option<String>,
    /// all in this state
    #[argh(option)]
    in_state: Option<String>,
    /// who says so; it is kept with the message
    #[argh(option)]
    by: Option<String>,
}

/// Throw messages away.
#[derive(FromArgs)]
#[argh(subcommand, name = "discard")]
struct Discard {
    /// their keys
    #[argh(positional)]
    keys: Vec<u64>,
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// all of this destination
    #[argh(option)]
    destination: Option<u64>,
    /// all of this customer
    #[argh(option)]
    customer: Option<String>,
    /// all in this state
    #[argh(option)]
    in_state: Option<String>,
    /// who says so; it stands in the log
    #[argh(option)]
    by: Option<String>,
}

/// Write messages with their bodies, one JSON object a line.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// where messages are kept, if not in `undelivered` there
    #[argh(option)]
    folder: Option<PathBuf>,
    /// only of this destination
    #[argh(option)]
    destination: Option<u64>,
    /// only in this state
    #[argh(option)]
    in_state: Option<String>,
    /// without their bodies
    #[argh(switch)]
    no_bodies: bool,
}

/// Say what was done and how full it is.
#[derive(FromArgs)]
#[argh(subcommand, name = "stats")]
struct Stats {
    /// the relay's folder that lasts
    #[argh(option)]
    state: PathBuf,
    /// where messages are kept, if not in `undelivered` there
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// Where messages are looked at: in a running relay, or in the files of one that is stopped.
enum Source {
    Relay(BufReader<UnixStream>),
    Files(Box<Shelf>),
}

impl Source {
    fn open(state: &Path, folder: Option<&Path>) -> Result<Source, Failed> {
        match UnixStream::connect(control::path(state)) {
            Ok(stream) => {
                stream.set_read_timeout(Some(PATIENCE))?;
                stream.set_write_timeout(Some(PATIENCE))?;
                Ok(Source::Relay(BufReader::new(stream)))
            }
            Err(_) => {
                let folder = folder.map_or_else(|| state.join("undelivered"), Path::to_path_buf);
                let (shelf, report) = Shelf::read_only(&folder)
                    .map_err(|e| Failed::unreadable(format!("{}: {e}", folder.display())))?;
                if report.damaged {
                    eprintln!(
                        "onyxstile: the store is damaged; what is shown is what it held up to some moment"
                    );
                }
                Ok(Source::Files(Box::new(shelf)))
            }
        }
    }

    fn ask(&mut self, order: &Order) -> Result<Answer, Failed> {
        let answer = match self {
            Source::Relay(stream) => {
                let mut line = serde_json::to_string(order)?;
                line.push('\n');
                stream.get_mut().write_all(line.as_bytes())?;
                let mut answer = String::new();
                stream.read_line(&mut answer)?;
                serde_json::from_str(&answer).map_err(|e| format!("the relay's answer: {e}"))?
            }
            Source::Files(shelf) => look(shelf, order),
        };
        match answer.error {
            Some(what) => Err(Failed { what, code: 1 }),
            None => Ok(answer),
        }
    }

    /// Asks until there is no more, and hands each answer on.
    fn all(
        &mut self, mut order: Order, mut each: impl FnMut(Answer) -> Result<(), Failed>,
    ) -> Result<(), Failed> {
        loop {
            let answer = self.ask(&order)?;
            let next = answer.next;
            each(answer)?;
            let Some(next) = next else { return Ok(()) };
            if let Order::List { after, .. } | Order::Change { after, .. } = &mut order {
                *after = Some(next);
            }
        }
    }
}

/// What the files of a stopped relay say.
fn look(shelf: &Shelf, order: &Order) -> Answer {
    match order {
        Order::List { filter, after, bodies } => {
            let (kept, next) = shelf.look(filter, *after, 100);
            let body = |key| bodies.then(|| shelf.body(key).ok().flatten()).flatten();
            let items = kept.iter().map(|k| item(k, body(k.key).as_ref().map(|b| &b.body[..])));
            Answer { items: items.collect(), next, ..Answer::default() }
        }
        Order::Stats => {
            let states = State::ALL.map(|s| (s.name(), shelf.by_state(s).count()));
            let states: std::collections::BTreeMap<_, _> = states.into_iter().collect();
            let store = &shelf.store;
            let stats = serde_json::json!({
                "messages": shelf.keys().count(),
                "states": states,
                "store": {"live_bytes": store.live_bytes(), "used_bytes": store.used_bytes()},
            });
            Answer { items: vec![stats], ..Answer::default() }
        }
        Order::Change { .. } => {
            Answer::error("no relay answers there; messages can be changed in a running one only")
        }
    }
}

fn state_of(name: Option<String>) -> Result<Option<String>, Failed> {
    match name {
        Some(name) if State::named(&name).is_none() => {
            let known: Vec<_> = State::ALL.iter().map(|s| s.name()).collect();
            Err(Failed::unreadable(format!("no state is named `{name}`; there are {}", known.join(", "))))
        }
        name => Ok(name),
    }
}

/// Which messages are to be changed; all of them takes a word.
fn chosen(
    keys: Vec<u64>, destination: Option<u64>, customer: Option<String>, state: Option<String>,
) -> Result<Filter, Failed> {
    let filter = Filter { keys, destination, customer, state: state_of(state)?, ..Filter::default() };
    if filter == Filter::default() {
        return Err(Failed::unreadable("name some keys, or a destination, customer or state"));
    }
    Ok(filter)
}

fn change(state: &Path, filter: Filter, what: What, by: Option<String>) -> Done {
    let by = by.or_else(|| std::env::var("USER").ok()).unwrap_or_default();
    let mut source = Source::open(state, None)?;
    let (mut done, mut left) = (0, 0);
    source.all(Order::Change { filter, after: None, what, by }, |answer| {
        done += answer.done;
        left += answer.left;
        Ok(())
    })?;
    println!("{done} changed, {left} left as they are");
    if left > 0 {
        println!("what is being resent waits for its end; what may have run goes with --may-have-run only");
    }
    Ok(if done == 0 && left > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn text(item: &serde_json::Value) -> String {
    let word = |name: &str| item[name].as_str().unwrap_or("-").to_string();
    let number = |name: &str| item[name].as_u64().unwrap_or(0);
    format!(
        "{:>8} {:<12} {:<10} {:<16} {:>6} {:>7} B {:>2} tries  {}",
        number("key"),
        word("state"),
        word("class"),
        word("customer"),
        number("destination"),
        number("bytes"),
        number("tries"),
        word("id")
    )
}

fn list(
    source: &mut Source, filter: Filter, bodies: bool, line: impl Fn(&serde_json::Value) -> String,
) -> Done {
    let mut out = std::io::stdout().lock();
    source.all(Order::List { filter, after: None, bodies }, |answer| {
        answer.items.iter().try_for_each(|i| writeln!(out, "{}", line(i))).map_err(Failed::from)
    })?;
    Ok(ExitCode::SUCCESS)
}

impl Undelivered {
    /// Does it.
    pub fn run(self) -> Done {
        match self.command {
            Command::List(o) => {
                let state = state_of(o.in_state)?;
                let filter = Filter {
                    destination: o.destination,
                    customer: o.customer,
                    class: o.class,
                    state,
                    ..Filter::default()
                };
                let json = o.format == Format::Json;
                let mut source = Source::open(&o.state, o.folder.as_deref())?;
                list(&mut source, filter, false, |i| if json { i.to_string() } else { text(i) })
            }
            Command::Show(o) => {
                let mut source = Source::open(&o.state, o.folder.as_deref())?;
                let filter = Filter { keys: vec![o.key], ..Filter::default() };
                let answer = source.ask(&Order::List { filter, after: None, bodies: o.body })?;
                let Some(item) = answer.items.first() else {
                    return Err(Failed { what: format!("no message has the key {}", o.key), code: 1 });
                };
                println!("{}", serde_json::to_string_pretty(item)?);
                Ok(ExitCode::SUCCESS)
            }
            Command::Resend(o) => {
                let what = if o.may_have_run { What::ResendMayHaveRun } else { What::Resend };
                change(&o.state, chosen(o.keys, o.destination, o.customer, o.in_state)?, what, o.by)
            }
            Command::Hold(o) => {
                change(&o.state, chosen(o.keys, o.destination, o.customer, o.in_state)?, What::Hold, o.by)
            }
            Command::Discard(o) => {
                change(&o.state, chosen(o.keys, o.destination, o.customer, o.in_state)?, What::Discard, o.by)
            }
            Command::Export(o) => {
                let state = state_of(o.in_state)?;
                let filter = Filter { destination: o.destination, state, ..Filter::default() };
                let mut source = Source::open(&o.state, o.folder.as_deref())?;
                list(&mut source, filter, !o.no_bodies, serde_json::Value::to_string)
            }
            Command::Stats(o) => {
                let answer = Source::open(&o.state, o.folder.as_deref())?.ask(&Order::Stats)?;
                for stats in &answer.items {
                    println!("{}", serde_json::to_string_pretty(stats)?);
                }
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}
