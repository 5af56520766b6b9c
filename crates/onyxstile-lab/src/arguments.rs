//! What the laboratory's command line takes.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Stand-ins, load and comparisons for the relay, all on loopback.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Demo(Demo),
    Tier(Tier),
    Compare(Compare),
    Failures(Failures),
    Load(LoadCommand),
    Cost(Cost),
    Replay(Replay),
    Outage(Outage),
    Comeback(Comeback),
    Goodput(Goodput),
}

/// Programs in their aim over load, with and without admission, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "goodput")]
pub(crate) struct Goodput {
    /// where goodput.csv and goodput.svg go
    #[argh(option, default = "PathBuf::from(\".\")")]
    pub(crate) folder: PathBuf,
    /// seeds all draws
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// seconds of arrivals
    #[argh(option, default = "30.0")]
    pub(crate) seconds: f64,
}

/// A fleet's return after a loss of power, in virtual time: with peers, without, and all at once.
#[derive(FromArgs)]
#[argh(subcommand, name = "comeback")]
pub(crate) struct Comeback {
    /// sizes of fleets, with commas between
    #[argh(option, default = "String::from(\"3,10,50,200\")")]
    pub(crate) relays: String,
    /// relays in a hundred that kept their power
    #[argh(option, default = "0")]
    pub(crate) kept: usize,
    /// plays of each
    #[argh(option, default = "10")]
    pub(crate) seeds: u64,
    /// where the chart goes (SVG)
    #[argh(option, default = "PathBuf::from(\"comeback.svg\")")]
    pub(crate) chart: PathBuf,
}

/// A partner that is shut under load and comes back cold, and relays that keep what failed.
#[derive(FromArgs)]
#[argh(subcommand, name = "outage")]
pub(crate) struct Outage {
    /// the relay's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile\")")]
    pub(crate) relay: PathBuf,
    /// relays
    #[argh(option, default = "3")]
    pub(crate) relays: usize,
    /// messages a second, at all of them together
    #[argh(option, default = "48.0")]
    pub(crate) per_s: f64,
    /// calls that the partner takes in a second
    #[argh(option, default = "60")]
    pub(crate) limit: usize,
    /// seconds before the partner is shut
    #[argh(option, default = "10")]
    pub(crate) before: u64,
    /// seconds for which it is shut
    #[argh(option, default = "120")]
    pub(crate) shut: u64,
    /// seconds of load after its return
    #[argh(option, default = "110")]
    pub(crate) after: u64,
    /// where the chart goes (SVG)
    #[argh(option, default = "PathBuf::from(\"outage.svg\")")]
    pub(crate) chart: PathBuf,
}

/// A recorded day again, to stand-ins that behave as the trace says, through a relay by another configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct Replay {
    /// the trace
    #[argh(positional)]
    pub(crate) trace: PathBuf,
    /// the operator's file, without real servers and [trace]
    #[argh(option)]
    pub(crate) config: PathBuf,
    /// the relay's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile\")")]
    pub(crate) relay: PathBuf,
    /// so much of the day, from its beginning
    #[argh(option, default = "u64::MAX")]
    pub(crate) seconds: u64,
}

/// What recording costs: relays with the recorder off, on and sampled, side by side.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
pub(crate) struct Cost {
    /// the relay's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile\")")]
    pub(crate) relay: PathBuf,
    /// messages a second, for each relay
    #[argh(option, default = "400.0")]
    pub(crate) per_s: f64,
    /// length of a round
    #[argh(option, default = "15")]
    pub(crate) seconds: u64,
    /// rounds
    #[argh(option, default = "4")]
    pub(crate) rounds: u64,
    /// of writes that outlast a loss of power, not of recording
    #[argh(switch)]
    pub(crate) durability: bool,
}

/// Partners, a relay set up from an nginx configuration, and some seconds of load.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// the relay's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile\")")]
    pub(crate) relay: PathBuf,
    /// for how long
    #[argh(option, default = "4")]
    pub(crate) seconds: u64,
}

/// A serving tier of all four roles on loopback, and a conversation that outlives a storage process.
#[derive(FromArgs)]
#[argh(subcommand, name = "tier")]
pub(crate) struct Tier {
    /// the tier's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile-system\")")]
    pub(crate) system: PathBuf,
}

/// The same traffic through a stand-in reverse proxy and a relay, for each sample of a folder.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct Compare {
    /// the relay's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile\")")]
    pub(crate) relay: PathBuf,
    /// the samples
    #[argh(option, default = "PathBuf::from(\"crates/onyxstile-nginx/samples\")")]
    pub(crate) samples: PathBuf,
    /// where the table goes (CSV)
    #[argh(option)]
    pub(crate) output: Option<PathBuf>,
    /// requests one after the other, for each sample
    #[argh(option, default = "200")]
    pub(crate) sequential: usize,
    /// requests of each of 64 clients at once
    #[argh(option, default = "100")]
    pub(crate) each: usize,
    /// for the traffic
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}

/// A day on which real servers hang, refuse and go, by proxy and by relay.
#[derive(FromArgs)]
#[argh(subcommand, name = "failures")]
pub(crate) struct Failures {
    /// the relay's binary
    #[argh(option, default = "PathBuf::from(\"target/release/onyxstile\")")]
    pub(crate) relay: PathBuf,
    /// where the chart goes (SVG)
    #[argh(option, default = "PathBuf::from(\"failures.svg\")")]
    pub(crate) chart: PathBuf,
    /// the day on which both primaries go and come back, instead
    #[argh(switch)]
    pub(crate) primaries: bool,
}

/// Clients that come at their times, to a relay or proxy that runs already on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadCommand {
    /// where
    #[argh(option)]
    pub(crate) to: SocketAddr,
    /// the host that is named
    #[argh(option, default = "String::from(\"shop.example\")")]
    pub(crate) host: String,
    /// the target
    #[argh(option, default = "String::from(\"/\")")]
    pub(crate) target: String,
    /// clients a second
    #[argh(option, default = "100.0")]
    pub(crate) per_s: f64,
    /// for how long
    #[argh(option, default = "5")]
    pub(crate) seconds: u64,
    /// for the distances between them
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}
