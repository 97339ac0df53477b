//! The file with the access token for Consul.

use crate::interconnect::Consul;
use linnetknot_consul::Token;
use linnetknot_store::is_permanent;
use std::path::PathBuf;
use std::{fs, io};

/// An error of reading the token file. The message does not include the token.
#[derive(Debug, thiserror::Error)]
#[error("consul.token_file: {}: {reason}", path.display())]
pub(in crate::daemon) struct TokenError {
    path: PathBuf,
    reason: TokenFault,
}

/// What is wrong with a token file.
#[derive(Debug, thiserror::Error)]
enum TokenFault {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The content of the file is not a token.
    #[error(transparent)]
    Invalid(#[from] linnetknot_consul::TokenError),
}

impl TokenError {
    /// Returns whether a later read of the file may succeed.
    pub(in crate::daemon) fn is_transient(&self) -> bool {
        matches!(&self.reason, TokenFault::Read(e) if !is_permanent(e))
    }
}

/// Reads the access token for Consul from the configured file; `None` if no file is configured.
pub(super) fn read_token(consul: &Consul) -> Result<Option<Token>, TokenError> {
    let Some(path) = &consul.token_file else {
        return Ok(None);
    };
    let error = |reason| TokenError {
        path: path.clone(),
        reason,
    };
    let text = fs::read_to_string(path).map_err(|e| error(TokenFault::Read(e)))?;
    let token = Token::parse(&text).map_err(|e| error(TokenFault::Invalid(e)))?;
    Ok(Some(token))
}
