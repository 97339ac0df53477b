//! The command line of linnetknot: runs the daemon, checks its configuration and queries running proxies.

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

/// An edge proxy for sites of large-object caches. Without a command it runs the proxy, configured by the files that
/// ROUTER_CONFIG and LINNETKNOT_INTERCONNECT name.
#[derive(Parser)]
#[command(name = "linnetknot", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validates files without starting the proxy: configurations, and the operators' own file
    /// (deploy/interconnect.json). Exits with 1 if any is invalid, after a message that names the key.
    Check {
        /// The files. Without any, those that a start would read.
        files: Vec<PathBuf>,
    },
    /// Queries the admin listener of a running proxy.
    Fleet {
        #[command(subcommand)]
        query: FleetCommand,
    },
    /// Prints the JSON Schema of the operators' own file.
    Schema,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Prints the replication status: commits, the progress of each peer, and the replicated logs. Exits with 1 if the
    /// query fails.
    Status {
        /// The address of the admin listener of the proxy ('ops' in its configuration).
        admin: SocketAddr,
        /// Print JSON in one line.
        #[arg(long)]
        json: bool,
    },
    /// Prints the status of the shared budgets: the leases, the allocators and the reserved minimums. Exits with 1 if
    /// the query fails.
    Budgets {
        /// The address of the admin listener of the proxy ('ops' in its configuration).
        admin: SocketAddr,
        /// Print JSON in one line.
        #[arg(long)]
        json: bool,
    },
}

/// An error that ends the daemon.
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
    // The logger is started first, so that errors in the configuration are logged.
    logging::start(
        config
            .as_ref()
            .map_or(LogForm::default(), |config| config.log),
    );
    let mut daemon = Daemon::start(config?, Box::new(Config::from_env))?;
    daemon.run()?;
    Ok(())
}

/// Runs the daemon until SIGTERM or a fatal error.
fn run_daemon() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("the daemon failed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Checks the files, and prints the result for each of them.
fn check(files: &[PathBuf]) -> ExitCode {
    let mut exit_code = ExitCode::SUCCESS;
    for file in config::check(files) {
        match file.result {
            Ok(description) => println!("{}: {description}", file.name),
            Err(e) => {
                eprintln!("{e}");
                exit_code = ExitCode::FAILURE;
            }
        }
    }
    exit_code
}

/// Prints a status that an admin listener returned.
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
        Some(Command::Fleet { query }) => query_fleet(&query),
        Some(Command::Schema) => {
            print!("{}", interconnect::schema());
            ExitCode::SUCCESS
        }
    }
}
