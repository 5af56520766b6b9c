//! The laboratory's command line.

mod arguments;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use arguments::{Arguments, Command, Compare, Cost, Demo, Failures, Goodput, LoadCommand, Replay, Tier};
use onyxstile_lab::{Failed, comeback, compare, cost, demo, goodput, load, outage, replay, tier};

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime.map_err(Failed::from).and_then(|runtime| {
        tokio::task::LocalSet::new().block_on(&runtime, run(argh::from_env::<Arguments>().command))
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("onyxstile-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), Failed> {
    match command {
        Command::Demo(Demo { relay, seconds }) => demo::demo(&relay, seconds).await,
        Command::Tier(Tier { system }) => tier::demo(&system).await,
        Command::Failures(Failures { relay, chart, primaries }) => {
            let story = if primaries { demo::RETURN } else { demo::FAILURES };
            for day in demo::failures(story, &relay, &chart).await? {
                println!("{}", serde_json::to_string(&day)?);
            }
            Ok(())
        }
        Command::Load(LoadCommand { to, host, target, per_s, seconds, seed }) => {
            if !to.ip().is_loopback() {
                return Err("loads go to loopback only".into());
            }
            let load = load::Load {
                address: to,
                host,
                target,
                fields: "",
                per_s,
                time: Duration::from_secs(seconds),
                seed,
            };
            println!("{}", serde_json::to_string(&load::run(load).await?)?);
            Ok(())
        }
        Command::Cost(Cost { relay, per_s, seconds, rounds, durability }) => {
            let ways = if durability { cost::DURABLE } else { cost::WAYS };
            let rows = cost::run(&relay, ways, per_s, seconds, rounds).await?;
            for row in &rows {
                println!("{}", serde_json::to_string(row)?);
            }
            for (way, _) in ways {
                let of = |f: fn(&cost::Row) -> f64| {
                    cost::median(rows.iter().filter(|r| r.way == way).map(f).collect())
                };
                let (cpu, trace, bytes) = (of(|r| r.cpu_us), of(|r| r.cpu_trace_us), of(|r| r.bytes));
                println!(
                    "{way:20} {cpu:8.1} us a message, {trace:6.1} of it the recorder's thread, {bytes:6.1} bytes"
                );
                if durability {
                    let (half, tail) = (of(|r| r.wait_us[0] as f64), of(|r| r.wait_us[1] as f64));
                    let (syncs, group) = (of(|r| r.syncs), of(|r| r.group));
                    println!(
                        "{way:20} answered after {half:.0} us, 99% {tail:.0}; {syncs:.2} syncs a message, {group:.1} steps a sync"
                    );
                }
            }
            Ok(())
        }
        Command::Replay(Replay { trace, config, relay, seconds }) => {
            let day = replay::Day::read(&trace)?;
            println!("{} s, so long does it take", day.length().as_secs().min(seconds));
            let text = std::fs::read_to_string(&config).map_err(|e| format!("{}: {e}", config.display()))?;
            let replayed = replay::replay(&relay, &day, &text, seconds).await?;
            println!("{}", serde_json::to_string_pretty(&replayed)?);
            Ok(())
        }
        Command::Outage(o) => {
            let seconds = [o.before, o.shut, o.after];
            let outage = outage::Outage { relays: o.relays, per_s: o.per_s, limit: o.limit, seconds };
            println!("{}", serde_json::to_string_pretty(&outage::run(&o.relay, outage, &o.chart).await?)?);
            Ok(())
        }
        Command::Comeback(c) => {
            let sizes = c.relays.split(',').map(str::parse).collect::<Result<Vec<usize>, _>>()?;
            comeback::report::run(&sizes, c.kept, c.seeds, &c.chart)
        }
        Command::Goodput(Goodput { folder, seed, seconds }) => goodput::report::run(&folder, seed, seconds),
        Command::Compare(c) => compare_all(&c).await,
    }
}

async fn compare_all(c: &Compare) -> Result<(), Failed> {
    let size = compare::Size { sequential: c.sequential, clients: (64, c.each) };
    let mut rows = Vec::new();
    for path in compare::samples(Path::new(&c.samples))? {
        let row = compare::sample(&c.relay, &path, size, c.seed).await?;
        let other =
            if row.first_other.is_empty() { String::new() } else { format!("  first: {}", row.first_other) };
        println!(
            "{:28} {:24} same {}/{}  shares within {:.2} points over {}{other}",
            row.sample, row.methods, row.same, row.sequential, row.share_points, row.concurrent
        );
        rows.push(row);
    }
    if let Some(output) = &c.output {
        std::fs::write(output, compare::table(&rows))?;
    }
    Ok(())
}
