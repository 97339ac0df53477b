//! Hosts many router instances on the bench's wire: one JSON value a line in, one a line out. No decisions here.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run(input: impl BufRead, out: impl Write) -> Result<(), String> {
    let mut out = BufWriter::with_capacity(1 << 16, out);
    let mut host = wire::Host::default();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", number + 1))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = host
            .line(&line)
            .map_err(|e| format!("line {}: {e}", number + 1))?
        {
            out.write_all(reply.as_bytes())
                .and_then(|()| out.flush())
                .map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("linnetknot-simulator-adapter: {message}");
            ExitCode::from(2)
        }
    }
}
