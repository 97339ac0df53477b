//! The rehearsal kit's command line.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use linnetknot_rehearse::load::{plan, Plan};
use linnetknot_rehearse::scenario::{schema, Scenario};
use std::collections::BTreeSet;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Rehearses against a linnetknot daemon on loopback. Without a command it plays `run`.
///
/// Exits with 0 where no rule was broken, 1 where one was, 2 where nothing could be played.
#[derive(Parser)]
#[command(name = "linnetknot-rehearse", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a purge by CDNI, a drain under redirected requests and a planned end, some five seconds.
    Run {
        /// The daemon; by default the one that stands beside this program.
        #[arg(long)]
        daemon: Option<PathBuf>,
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

fn run(daemon: Option<PathBuf>) -> ExitCode {
    let beside = || std::env::current_exe().map(|own| own.with_file_name("linnetknot")).unwrap_or_default();
    let daemon = daemon.unwrap_or_else(beside);
    match linnetknot_rehearse::rehearse(&daemon, None) {
        Err(e) => {
            eprintln!("the rehearsal could not be played with {}: {e}", daemon.display());
            ExitCode::from(2)
        }
        Ok(report) => {
            print!("{report}");
            ExitCode::from(u8::from(!report.breaches.is_empty()))
        }
    }
}

fn read(path: &Path) -> Result<Scenario, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    Scenario::read(&text).map_err(|e| format!("{shown}: {e}"))
}

/// The plan as tables.
fn tables(scenario: &Scenario, plan: &Plan) -> String {
    let (name, seconds) = (&scenario.name, scenario.seconds);
    let mut out =
        format!("{name}: {} requests and {} purges in {seconds} s\n", plan.arrivals.len(), plan.purges.len());
    out += "\n| class | requests | objects | MB |\n| --- | --- | --- | --- |\n";
    for (n, class) in scenario.load.classes.iter().enumerate() {
        let of: Vec<_> = plan.arrivals.iter().filter(|a| a.class == n).collect();
        let objects: BTreeSet<u64> = of.iter().map(|a| a.object).collect();
        let mb = of.iter().map(|a| a.size_kb).sum::<f64>() / 1e3;
        out += &format!("| {} | {} | {} | {mb:.0} |\n", class.name, of.len(), objects.len());
    }
    out += "\n| second | requests | purges |\n| --- | --- | --- |\n";
    let mut rows = vec![(0, 0); seconds.ceil() as usize];
    let last = rows.len() - 1;
    let row = |at: u64| ((at / 1_000_000) as usize).min(last);
    plan.arrivals.iter().for_each(|a| rows[row(a.at)].0 += 1);
    plan.purges.iter().for_each(|p| rows[row(p.at)].1 += 1);
    for (second, (requests, purges)) in rows.into_iter().enumerate() {
        out += &format!("| {second} | {requests} | {purges} |\n");
    }
    out
}

/// Prints; whoever reads may have had enough, which is no failure.
fn say(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        None => run(None),
        Some(Command::Run { daemon }) => run(daemon),
        Some(Command::Check { files }) => {
            let mut sound = true;
            for file in &files {
                match read(file) {
                    Ok(scenario) => println!("{}: sound: {}", file.display(), scenario.about),
                    Err(e) => {
                        sound = false;
                        eprintln!("{e}");
                    }
                }
            }
            ExitCode::from(if sound { 0 } else { 2 })
        }
        Some(Command::Plan { file, seed }) => match read(&file) {
            Ok(scenario) => {
                say(&tables(&scenario, &plan(&scenario, seed)));
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("{e}");
                ExitCode::from(2)
            }
        },
        Some(Command::Schema) => {
            say(&schema());
            ExitCode::SUCCESS
        }
    }
}
