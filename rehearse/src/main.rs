//! Runs the rehearsal against the daemon that stands beside this program, or the one that is named.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let beside = std::env::current_exe().map(|own| own.with_file_name("linnetknot")).unwrap_or_default();
    let daemon = std::env::args().nth(1).map_or(beside, PathBuf::from);
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
