//! `onyxstile-system`: one program, a sub-command for each role of the serving tier.

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

/// What all roles take.
#[derive(Args)]
struct Role {
    /// Tells the role's figures as text over HTTP at this port and path of the machine's address.
    #[arg(long, value_name = "PORT/PATH")]
    metrics: Option<MetricsAddress>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves clients on an edge machine; needs listen.front and listen.readiness.
    Proxy(Role),
    /// Keeps the link to the controllers and feeds the proxy of its machine.
    Agent(Role),
    /// Keeps the control state on a core machine; needs data_dir and listen.control.
    Controller(Role),
    /// Keeps turns and budgets on a storage machine; needs data_dir.
    Storage(Role),
    /// Asks a controller or a storage machine what it knows: view, chain, revision, storage plan, repair.
    Status {
        /// Its address with the first of its internal ports.
        address: SocketAddrV4,
    },
    /// Checks a settings file and says what is wrong with it.
    CheckSettings {
        /// The file.
        file: PathBuf,
    },
    /// Checks a configuration before it is sent to the operator's API.
    CheckConfiguration {
        /// The file.
        file: PathBuf,
    },
}

impl Command {
    /// Where a role tells its figures.
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
