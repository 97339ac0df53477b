//! Checks upgrade and rollback: runs an older and a newer program alternately on the same files, and both as replicating
//! peers.
//!
//!     cargo run --release -p linnetknot-rehearse --example upgrade -- OLD NEW
//!
//! Prints each check with its observation. Exits with 1 if any failed.

mod checks;
mod same_files;
mod side_by_side;

use checks::Checks;
use same_files::{Stop, Trial};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, io};

/// The two programs.
struct Programs {
    old: PathBuf,
    new: PathBuf,
}

impl Programs {
    fn from_arguments() -> Option<Self> {
        let mut arguments = env::args().skip(1).map(PathBuf::from);
        let (old, new) = (arguments.next()?, arguments.next()?);
        arguments.next().is_none().then_some(Programs { old, new })
    }
}

/// A program with its name in the output.
#[derive(Clone, Copy)]
struct Program<'a> {
    label: &'static str,
    path: &'a Path,
}

fn run(programs: &Programs, checks: &mut Checks) -> io::Result<()> {
    let old = Program {
        label: "old",
        path: &programs.old,
    };
    let new = Program {
        label: "new",
        path: &programs.new,
    };
    for (is_replicating, stop) in [
        (false, Stop::Kill),
        (false, Stop::Terminate),
        (true, Stop::Kill),
        (true, Stop::Terminate),
    ] {
        for order in [[old, new, old, new], [new, old, new, old]] {
            Trial::start(is_replicating, stop)?.run(&order, checks)?;
        }
    }
    side_by_side::run(old, new, checks)
}

fn main() -> ExitCode {
    let Some(programs) = Programs::from_arguments() else {
        eprintln!("usage: upgrade OLD NEW (two programs 'linnetknot')");
        return ExitCode::from(2);
    };
    let mut checks = Checks::default();
    if let Err(e) = run(&programs, &mut checks) {
        checks.check("the trial runs to its end", false, || e.to_string());
    }
    println!("{checks}");
    if checks.has_failed() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
