//! The command line's form.

use clap::{Args, Parser, Subcommand};
use linnetknot_rehearse::scale;
use linnetknot_rehearse::series::Seeds;
use std::path::PathBuf;

/// Rehearses against a linnetknot daemon on loopback. Without a command it plays `run`.
///
/// Exits with 0 where no rule was broken, 1 where one was, 2 where nothing could be played.
#[derive(Parser)]
#[command(name = "linnetknot-rehearse", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Plays scenarios in turn: shipped ones by name (`all` for every one, see `list`) or files. Without any, it
    /// plays a purge by CDNI, a drain under redirected requests and a planned end, some five seconds.
    Run(RunArguments),
    /// Plays faults at points of a commit: three proxies that replicate each other's commits, one of which dies, is
    /// stopped or is cut off, and comes back with its disk or without. Prints a table by fault point and disk.
    #[command(visible_alias = "moments")]
    FaultMatrix(MatrixArguments),
    /// Runs a whole fleet of hollow proxies, thousands in one process, on virtual time, and prints what each role spends
    /// beside its limit. Exits with 1 where something is wrong, with 2 where it can't be run.
    Scale(scale::command::Arguments),
    /// Runs real daemons beside hollow proxies that speak to them by sockets, and prints what each daemon spends on
    /// control beside its limit. Exits with 1 where something is wrong, with 2 where it can't be run.
    ScaleDaemons(scale::daemons::command::Arguments),
    /// Lists the shipped scenarios.
    List,
    /// Plays a scenario: proxies, boxes that behave, hub caches, an origin and the planned load, on this machine.
    Play(PlayArguments),
    /// Puts the results of two rehearsals of one scenario side by side. Exits with 1 where the second broke a rule, with
    /// 2 where they can't be compared.
    Compare {
        /// The first.
        a: PathBuf,
        /// The second.
        b: PathBuf,
    },
    /// Checks scenario files: a message names the key at fault.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Shows what a scenario asks for, second by second, without playing it.
    Plan {
        /// The scenario.
        file: PathBuf,
        /// The same seed gives the same plan.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Prints the JSON Schema of scenario files.
    Schema,
}

/// What `run` takes.
#[derive(Args)]
pub(crate) struct RunArguments {
    /// Names of shipped scenarios, `all`, or files.
    pub(crate) scenarios: Vec<String>,
    /// The same seed gives the same plan and timetable.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Plays each scenario with all of these seeds (`1..20`), several plays side by side, and prints one table
    /// of the broken rules by seed. The exit status is the worst.
    #[arg(long, conflicts_with_all = ["seed", "json"])]
    pub(crate) seeds: Option<Seeds>,
    /// Plays at a time with `--seeds`; a play needs some tenth of a core.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64), requires = "seeds")]
    pub(crate) jobs: u16,
    /// The daemon; by default the one that stands beside this program.
    #[arg(long)]
    pub(crate) daemon: Option<PathBuf>,
    /// Writes each result to this file too, for `compare`; with several scenarios the name of each is put
    /// before the file's extension.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
    /// Plays each scenario in this share of its time: shape and faults closer together, rates as they are.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) time_scale: f64,
}

/// What `fault-matrix` takes.
#[derive(Args)]
pub(crate) struct MatrixArguments {
    /// Plays, through all fault points and both disks in turn.
    #[arg(long, default_value_t = 28)]
    pub(crate) plays: u32,
    /// The first seed; each play has the next.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Plays at a time.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(crate) jobs: u16,
    /// The daemon, built with `--features points`; by default the one that stands beside this program.
    #[arg(long)]
    pub(crate) daemon: Option<PathBuf>,
    /// Plants a fault in all daemons, which the rules must find: `credit`, `skip` or `no-fence`.
    #[arg(long)]
    pub(crate) plant: Option<String>,
}

/// What `play` takes.
#[derive(Args)]
pub(crate) struct PlayArguments {
    /// The scenario.
    pub(crate) file: PathBuf,
    /// The same seed gives the same plan.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// The daemon; by default the one that stands beside this program.
    #[arg(long)]
    pub(crate) daemon: Option<PathBuf>,
    /// Writes the result to this file too, for `compare`.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
}
