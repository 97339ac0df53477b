//! Starts the daemon, or checks what it would be started with. Everything else is the library's.

use clap::{Parser, Subcommand};
use linnetknot_daemon::{config, config::Config, daemon::Daemon, fleet, interconnect, logging};
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

/// Prints what an admin listener said.
fn tell<T>(admin: SocketAddr, said: io::Result<T>, shown: impl Fn(&T) -> String) -> ExitCode {
    match said {
        Ok(status) => {
            println!("{}", shown(&status).trim_end());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{admin}: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    #[cfg(feature = "points")]
    linnetknot_daemon::points::arm()?;
    let config = Config::from_env();
    logging::start(config.as_ref().map_or(Default::default(), |c| c.log));
    let mut daemon = Daemon::start(
        config.map_err(|e| e.to_string())?,
        Box::new(Config::from_env),
    )
    .map_err(|e| format!("could not start: {e}"))?;
    daemon
        .run()
        .map_err(|e| format!("the event loop failed: {e}"))
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        None => match serve() {
            Ok(()) => ExitCode::SUCCESS,
            Err(message) => {
                log::error!("{message}");
                ExitCode::FAILURE
            }
        },
        Some(Command::Check { files }) => {
            let mut sound = true;
            for file in config::check(&files) {
                match file.result {
                    Ok(what) => println!("{}: {what}", file.name),
                    Err(e) => {
                        sound = false;
                        eprintln!("{e}");
                    }
                }
            }
            ExitCode::from(u8::from(!sound))
        }
        Some(Command::Fleet {
            what: FleetCommand::Status { admin, json },
        }) => tell(admin, fleet::ask(admin), |s| {
            if json {
                fleet::to_json(s)
            } else {
                s.to_table()
            }
        }),
        Some(Command::Fleet {
            what: FleetCommand::Budgets { admin, json },
        }) => tell(admin, fleet::ask_budgets(admin), |s| {
            if json {
                fleet::to_json(s)
            } else {
                s.to_table()
            }
        }),
        Some(Command::Schema) => {
            print!("{}", interconnect::schema());
            ExitCode::SUCCESS
        }
    }
}
