//! Traffic between daemons and hollow members, counted by kind.

use super::kind::Kind;
use crate::scale::network::HEADER_BYTES;

/// Traffic between one daemon and all hollow members, from the daemon's point of view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent to the daemon.
    pub datagrams_in: u64,
    /// Bytes sent to the daemon, with headers.
    pub bytes_in: u64,
    /// Datagrams sent by the daemon.
    pub datagrams_out: u64,
    /// Bytes sent by the daemon, with headers.
    pub bytes_out: u64,
    /// Datagrams to the daemon that the operating system rejected.
    pub unsent: u64,
    /// Bytes in both directions by kind, in the order of `Kind::ALL`.
    pub bytes_by_kind: [u64; Kind::ALL.len()],
}

impl Traffic {
    /// Counts a datagram sent to the daemon.
    pub(super) fn received(&mut self, bytes: &[u8]) {
        self.datagrams_in += 1;
        self.bytes_in += self.count_kind(bytes);
    }

    /// Counts a datagram sent by the daemon.
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
