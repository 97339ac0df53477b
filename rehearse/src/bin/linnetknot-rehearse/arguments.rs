//! The command line arguments.

use clap::{Args, Parser, Subcommand};
use linnetknot_rehearse::scale;
use linnetknot_rehearse::series::Seeds;
use std::path::PathBuf;

/// Rehearses faults against linnetknot daemons on loopback. The default command is `run`.
///
/// Exits with 0 if no rule was broken, 1 if one was, and 2 if nothing could be played.
#[derive(Parser)]
#[command(name = "linnetknot-rehearse", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Plays scenarios one after another: shipped ones by name (`all` for each, see `list`) or files. Without any, plays a
    /// purge by CDNI, a drain under redirected requests and a planned shutdown, in about five seconds.
    Run(RunArguments),
    /// Plays faults at points of a commit: three proxies replicate each other's commits, and one of them crashes, is
    /// stopped or is isolated, and comes back with or without its disk. Prints a table by fault point and disk.
    #[command(visible_alias = "moments")]
    FaultMatrix(MatrixArguments),
    /// Runs a fleet of thousands of simulated proxies in one process on virtual time, and prints the cost of each role and its
    /// limit. Exits with 1 if a check fails, and 2 if it can't be run.
    Scale(scale::command::Arguments),
    /// Runs real daemons with simulated proxies as peers over sockets, and prints the control cost of each daemon and its
    /// limit. Exits with 1 if a check fails, and 2 if it can't be run.
    ScaleDaemons(scale::daemons::command::Arguments),
    /// Lists the shipped scenarios.
    List,
    /// Plays a scenario on this machine, with proxies, fake caches, an origin and the planned load.
    Play(PlayArguments),
    /// Compares the results of two rehearsals of one scenario. Exits with 1 if the second broke a rule, and 2 if they can't
    /// be compared.
    Compare {
        /// The first result file.
        a: PathBuf,
        /// The second result file.
        b: PathBuf,
    },
    /// Validates scenario files. Errors name the invalid key.
    Check {
        /// The scenario files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Prints the load of a scenario second by second without playing it.
    Plan {
        /// The scenario file.
        file: PathBuf,
        /// The same seed gives the same plan.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Prints the JSON Schema of scenario files.
    Schema,
}

/// The arguments of `run`.
#[derive(Args)]
pub(crate) struct RunArguments {
    /// Names of shipped scenarios, `all`, or files.
    pub(crate) scenarios: Vec<String>,
    /// The same seed gives the same plan and timetable.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Plays each scenario with all of these seeds (`1..20`) in parallel, and prints one table of the broken rules by seed.
    /// The exit status is the worst of all plays.
    #[arg(long, conflicts_with_all = ["seed", "json"])]
    pub(crate) seeds: Option<Seeds>,
    /// The number of parallel plays with `--seeds`. A play needs about a tenth of a core.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64), requires = "seeds")]
    pub(crate) jobs: u16,
    /// The daemon. The default is the one in the folder of this program.
    #[arg(long)]
    pub(crate) daemon: Option<PathBuf>,
    /// Also writes each result to this file, for `compare`. With several scenarios, the name of each is inserted before the
    /// file's extension.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
    /// Scales the duration of each scenario, its load shape and its faults by this factor. Rates stay the same.
    #[arg(long, default_value_t = 1.0)]
    pub(crate) time_scale: f64,
}

/// The arguments of `fault-matrix`.
#[derive(Args)]
pub(crate) struct MatrixArguments {
    /// The number of plays, which cycle through all fault points with both kinds of disk.
    #[arg(long, default_value_t = 28)]
    pub(crate) plays: u32,
    /// The seed of the first play. Each further play uses the next.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// The number of parallel plays.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(crate) jobs: u16,
    /// The daemon, built with `--features points`. The default is the one in the folder of this program.
    #[arg(long)]
    pub(crate) daemon: Option<PathBuf>,
    /// Injects a defect in all daemons that the rules must detect: `credit`, `skip` or `no-fence`.
    #[arg(long)]
    pub(crate) plant: Option<String>,
}

/// The arguments of `play`.
#[derive(Args)]
pub(crate) struct PlayArguments {
    /// The scenario file.
    pub(crate) file: PathBuf,
    /// The same seed gives the same plan.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// The daemon. The default is the one in the folder of this program.
    #[arg(long)]
    pub(crate) daemon: Option<PathBuf>,
    /// Also writes the result to this file, for `compare`.
    #[arg(long)]
    pub(crate) json: Option<PathBuf>,
}
