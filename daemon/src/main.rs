//! Starts the daemon, or checks what it would be started with. Everything else is the library's.

use clap::{Parser, Subcommand};
use linnetknot_daemon::config::{self, Config, ConfigError};
use linnetknot_daemon::daemon::{Daemon, StartError};
use linnetknot_daemon::fleet::{self, StatusError};
use linnetknot_daemon::interconnect::{self, LogForm};
use linnetknot_daemon::{budgets, logging};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// An edge proxy for sites of large-object caches. Without a command it starts, configured by the files that
/// ROUTER_CONFIG and LINNETKNOT_INTERCONNECT name.
#[derive(Parser)]
#[command(name = "linnetknot", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Checks files without starting: configurations, and the operators' own (deploy/interconnect.json). Exits with 1
    /// if any is faulty, after a message that names the key.
    Check {
        /// The files; without any, those that a start would read.
        files: Vec<PathBuf>,
    },
    /// Asks a running proxy about what the proxies of the fleet keep for each other.
    Fleet {
        #[command(subcommand)]
        what: FleetCommand,
    },
    /// Prints the JSON Schema of the operators' own file.
    Schema,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Its promises, how far each peer has its log, and the logs that it holds for others. Exits with 1 where it can't
    /// be asked.
    Status {
        /// The admin listener of the proxy ('ops' of its configuration).
        admin: SocketAddr,
        /// As JSON, in one line.
        #[arg(long)]
        json: bool,
    },
    /// What all proxies spend together: its parts, who divides, and who lives on a floor. Exits with 1 where it can't be
    /// asked.
    Budgets {
        /// The admin listener of the proxy ('ops' of its configuration).
        admin: SocketAddr,
        /// As JSON, in one line.
        #[arg(long)]
        json: bool,
    },
}

/// Why the daemon ended, other than after SIGTERM.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[cfg(feature = "points")]
    #[error(transparent)]
    FailPoints(#[from] linnetknot_daemon::fail_points::ArmError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("could not start: {0}")]
    Start(#[from] StartError),
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] io::Error),
}

fn serve() -> Result<(), ServeError> {
    #[cfg(feature = "points")]
    linnetknot_daemon::fail_points::arm()?;
    let config = Config::from_env();
    // The log starts first: a fault of the configuration is logged too.
    logging::start(
        config
            .as_ref()
            .map_or(LogForm::default(), |config| config.log),
    );
    let mut daemon = Daemon::start(config?, Box::new(Config::from_env))?;
    daemon.run()?;
    Ok(())
}

/// Serves until SIGTERM, or until what must not fail has failed.
fn run_daemon() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("the daemon ends with an error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Prints what each file is, or what is wrong with it.
fn check(files: &[PathBuf]) -> ExitCode {
    let mut exit_code = ExitCode::SUCCESS;
    for file in config::check(files) {
        match file.result {
            Ok(what) => println!("{}: {what}", file.name),
            Err(e) => {
                eprintln!("{e}");
                exit_code = ExitCode::FAILURE;
            }
        }
    }
    exit_code
}

/// Prints the status that an admin listener returned.
fn print_status<T: Serialize>(
    admin: SocketAddr,
    status: Result<T, StatusError>,
    as_json: bool,
    to_table: impl Fn(&T) -> String,
) -> ExitCode {
    match status {
        Ok(status) => {
            let text = if as_json {
                fleet::to_json(&status)
            } else {
                to_table(&status)
            };
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{admin}: {e}");
            ExitCode::FAILURE
        }
    }
}

fn query_fleet(command: &FleetCommand) -> ExitCode {
    match *command {
        FleetCommand::Status { admin, json } => print_status(
            admin,
            fleet::query_status(admin),
            json,
            fleet::Status::to_table,
        ),
        FleetCommand::Budgets { admin, json } => {
            let status = fleet::query_budgets(admin);
            print_status(admin, status, json, budgets::Status::to_table)
        }
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        None => run_daemon(),
        Some(Command::Check { files }) => check(&files),
        Some(Command::Fleet { what }) => query_fleet(&what),
        Some(Command::Schema) => {
            print!("{}", interconnect::schema());
            ExitCode::SUCCESS
        }
    }
}
