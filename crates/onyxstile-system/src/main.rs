//! `onyxstile-system`: one binary with a sub-command for each role of the serving tier.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use onyxstile_system::role::controller::RoleError;
use onyxstile_system::role::signals::Signals;
use onyxstile_system::role::{agent, controller, proxy, status, storage};
use onyxstile_system::settings::{MetricsAddress, Settings, SettingsError};
use onyxstile_system::{configuration, logging};

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

impl Command {
    /// The metrics address of a role.
    fn metrics(&self) -> Option<MetricsAddress> {
        match self {
            Command::Proxy(role)
            | Command::Agent(role)
            | Command::Controller(role)
            | Command::Storage(role) => role.metrics.clone(),
            _ => None,
        }
    }
}

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report::<RoleError>(Err(RoleError::Io("the runtime", error))),
    };
    runtime.block_on(tokio::task::LocalSet::new().run_until(program()))
}

async fn program() -> ExitCode {
    let signals = Signals::listen();
    let arguments = Arguments::parse();
    if let Err(error) = logging::start(logging::level_from_environment()) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match arguments.command {
        Command::CheckSettings { file } => {
            report(Settings::read(&file).map(|_| "the settings are valid".into()))
        }
        Command::CheckConfiguration { file } => report(check_configuration(&file)),
        Command::Status { address } => tokio::select! {
            result = status::run(address) => report(result.map(|()| "asked".into())),
            () = signals.wait_any() => ExitCode::FAILURE,
        },
        command => match Settings::from_environment() {
            Ok(settings) => {
                let settings = Settings { metrics: command.metrics(), ..settings };
                report(run(&command, settings, signals).await.map(|()| "ended".into()))
            }
            Err(error) => report::<SettingsError>(Err(error)),
        },
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

async fn run(command: &Command, settings: Settings, signals: Signals) -> Result<(), RoleError> {
    match command {
        Command::Proxy(_) => proxy::run(settings, signals).await,
        Command::Agent(_) => agent::run(settings, signals).await,
        Command::Controller(_) => controller::run(settings, signals).await,
        Command::Storage(_) => storage::run(settings, signals).await,
        _ => Ok(()),
    }
}

fn report<E: std::fmt::Display>(result: Result<String, E>) -> ExitCode {
    match result {
        Ok(text) => {
            log::info!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
