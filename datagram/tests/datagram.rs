//! The mark of a datagram, its bound, and the random numbers.

use linnetknot_datagram::{payload, DecodeError, Random, MAX_DATAGRAM_BYTES};

#[test]
fn a_mark_names_kind_and_version_and_a_datagram_is_bounded() {
    assert_eq!(payload(b"fleet1abc", "fleet1"), Ok(b"abc".as_slice()));
    assert_eq!(payload(b"fleet2abc", "fleet1"), Err(DecodeError::Version));
    assert_eq!(payload(b"fleet", "fleet1"), Err(DecodeError::Version));
    assert_eq!(payload(b"flee", "fleet1"), Err(DecodeError::Foreign));
    let long = [b"fleet1".as_slice(), &[0; MAX_DATAGRAM_BYTES - 5]].concat();
    assert_eq!(payload(&long, "fleet1"), Err(DecodeError::Malformed));
    assert!(payload(&long[..MAX_DATAGRAM_BYTES], "fleet1").is_ok());
}

#[test]
fn numbers_are_below_their_bound_and_spread_over_it() {
    let mut random = Random::new(0);
    let mut seen = [0; 8];
    (0..8_000).for_each(|_| seen[random.below(8) as usize] += 1);
    assert!(seen.iter().all(|n| (800..1_200).contains(n)), "{seen:?}");
    assert_eq!(random.below(0), 0);
}
