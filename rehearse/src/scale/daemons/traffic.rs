//! What goes between daemons and hollow members, counted by kind.

use super::kind::Kind;
use crate::scale::network::HEADER_BYTES;

/// What went between one daemon and all hollow members, as the daemon sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams that it was sent.
    pub datagrams_in: u64,
    /// Their bytes, with headers.
    pub bytes_in: u64,
    /// Datagrams that it sent.
    pub datagrams_out: u64,
    /// Their bytes, with headers.
    pub bytes_out: u64,
    /// Datagrams for it that this machine did not take.
    pub unsent: u64,
    /// The bytes of both directions by kind, in the order of `Kind::ALL`.
    pub bytes_by_kind: [u64; Kind::ALL.len()],
}

impl Traffic {
    /// It was sent a datagram.
    pub(super) fn received(&mut self, bytes: &[u8]) {
        self.datagrams_in += 1;
        self.bytes_in += self.count_kind(bytes);
    }

    /// It sent a datagram.
    pub(super) fn sent(&mut self, bytes: &[u8]) {
        self.datagrams_out += 1;
        self.bytes_out += self.count_kind(bytes);
    }

    fn count_kind(&mut self, bytes: &[u8]) -> u64 {
        let with_headers = bytes.len() as u64 + HEADER_BYTES;
        self.bytes_by_kind[Kind::of(bytes) as usize] += with_headers;
        with_headers
    }
}
