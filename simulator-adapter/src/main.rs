//! Hosts many router instances for the simulator. Messages are lines of JSON on standard input and output.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Errors that end the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("line {line}: {source}")]
    Read { line: usize, source: io::Error },
    #[error("line {line}: {message}")]
    Message { line: usize, message: String },
    #[error(transparent)]
    Write(#[from] io::Error),
}

fn run(input: impl BufRead, out: impl Write) -> Result<(), AdapterError> {
    let mut out = BufWriter::with_capacity(1 << 16, out);
    let mut host = wire::Host::default();
    for (index, text) in input.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|source| AdapterError::Read { line, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = host
            .handle_line(&text)
            .map_err(|message| AdapterError::Message { line, message })?;
        if let Some(reply) = reply {
            out.write_all(reply.as_bytes())?;
            out.flush()?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetknot-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
