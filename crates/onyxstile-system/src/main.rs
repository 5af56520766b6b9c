//! `onyxstile-system`: one binary with a sub-command for each role of the serving tier.

use std::fmt::{self, Display};
use std::io::Write;
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use onyxstile_system::process::{EndRecord, Exit};
use onyxstile_system::role::signals::Signals;
use onyxstile_system::role::{RoleError, agent, controller, proxy, settings_wait, status, storage};
use onyxstile_system::settings::{MetricsAddress, PATH_VARIABLE, Settings, SettingsError};
use onyxstile_system::{configuration, logging, process};

/// The serving tier for agent programs.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// Arguments of all roles.
#[derive(Args)]
struct Role {
    /// Serves metrics as text over HTTP at this port of the machine's address, under this path.
    #[arg(long, value_name = "PORT/PATH")]
    metrics: Option<MetricsAddress>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a proxy, which serves clients on an edge machine; needs listen.front and listen.readiness.
    Proxy(Role),
    /// Runs an agent, which follows the controllers and updates the proxy on its machine.
    Agent(Role),
    /// Runs a controller, which keeps the control state on a core machine; needs data_dir and listen.control.
    Controller(Role),
    /// Runs a storage server, which keeps turns and budgets on a storage machine; needs data_dir.
    Storage(Role),
    /// Prints the status of a controller or a storage machine: view, chain, revision, storage plan, repair.
    Status {
        /// Address of the machine with the first of its internal ports.
        address: SocketAddrV4,
    },
    /// Validates a settings file and reports the first error.
    CheckSettings {
        /// Path of the settings file.
        file: PathBuf,
    },
    /// Validates a configuration before it is sent to the operator API.
    CheckConfiguration {
        /// Path of the configuration file.
        file: PathBuf,
    },
}

/// A role that a process runs.
#[derive(Clone, Copy)]
enum RoleName {
    Proxy,
    Agent,
    Controller,
    Storage,
}

impl Display for RoleName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RoleName::Proxy => "proxy",
            RoleName::Agent => "agent",
            RoleName::Controller => "controller",
            RoleName::Storage => "storage",
        })
    }
}

/// How long the exit waits for the last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    // The event loop of the process is gone after a panic, so nothing that it may have left half done is used again.
    let exit = catch_unwind(AssertUnwindSafe(run_program)).unwrap_or(Exit::Panicked);
    logging::flush(LOG_FLUSH_TIMEOUT);
    exit.into()
}

fn run_program() -> Exit {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(tokio::task::LocalSet::new().run_until(program())),
        Err(error) => fail(Exit::NoRuntime, &error),
    }
}

async fn program() -> Exit {
    let signals = Signals::listen();
    let arguments = Arguments::parse();
    if let Err(error) = logging::start(logging::level_from_environment()) {
        return fail(Exit::Failed, &error);
    }
    process::count_panics();
    match arguments.command {
        Command::CheckSettings { file } => {
            report(Settings::read(&file).map(|_| "the settings are valid".into()))
        }
        Command::CheckConfiguration { file } => report(check_configuration(&file)),
        Command::Status { address } => tokio::select! {
            result = status::run(address) => report(result.map(|()| "asked".into())),
            () = signals.wait_any() => Exit::Failed,
        },
        Command::Proxy(role) => run(RoleName::Proxy, role, signals).await,
        Command::Agent(role) => run(RoleName::Agent, role, signals).await,
        Command::Controller(role) => run(RoleName::Controller, role, signals).await,
        Command::Storage(role) => run(RoleName::Storage, role, signals).await,
    }
}

fn check_configuration(file: &std::path::Path) -> Result<String, String> {
    let bytes = std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let configuration =
        configuration::parse(&bytes).map_err(|error| format!("{}: {error}", file.display()))?;
    let routes: usize = configuration.routes.values().map(Vec::len).sum();
    Ok(format!(
        "revision {}: {routes} routes, {} services",
        configuration.revision,
        configuration.services.len()
    ))
}

/// Runs a role until it ends, and records how it did.
async fn run(name: RoleName, role: Role, mut signals: Signals) -> Exit {
    if std::env::var_os(PATH_VARIABLE).is_none() {
        return fail(Exit::NoSettings, &SettingsError::NoPath);
    }
    let settings = tokio::select! {
        settings = settings_wait::read_settings(role.metrics.as_ref()) => settings,
        () = signals.termination.received() => return Exit::Done,
    };
    let record = EndRecord::new(&settings, &name.to_string());
    process::set_previous_end(record.begin());
    let settings = Settings { metrics: role.metrics, ..settings };
    let (exit, text) = match tokio::task::spawn_local(run_role(name, settings, signals)).await {
        Ok(Ok(())) => (Exit::Done, "told to end".to_owned()),
        Ok(Err(error)) => (Exit::PartEnded, error.to_string()),
        Err(error) => (Exit::Panicked, error.to_string()),
    };
    log::info!("{name} exits with {}: {text}", exit.code());
    record.end(&format!("exit {}: {text}", exit.code()));
    exit
}

async fn run_role(name: RoleName, settings: Settings, signals: Signals) -> Result<(), RoleError> {
    match name {
        RoleName::Proxy => proxy::run(settings, signals).await,
        RoleName::Agent => agent::run(settings, signals).await,
        RoleName::Controller => controller::run(settings, signals).await,
        RoleName::Storage => storage::run(settings, signals).await,
    }
}

fn report<E: Display>(result: Result<String, E>) -> Exit {
    match result {
        Ok(text) => {
            log::info!("{text}");
            Exit::Done
        }
        Err(error) => fail(Exit::Failed, &error),
    }
}

/// Tells the operator why a command failed. Unlike `eprintln!`, this does not panic if nobody reads standard error.
fn fail(exit: Exit, error: &dyn Display) -> Exit {
    writeln!(std::io::stderr(), "{error}").ok();
    exit
}
