//! Tests of the prefix and the maximum length of datagrams, and of random numbers.

use linnetknot_datagram::{payload, DecodeError, Random, MAX_DATAGRAM_BYTES};

#[test]
fn datagrams_of_other_protocols_and_versions_and_too_long_ones_are_rejected() {
    assert_eq!(payload(b"fleet1abc", "fleet1"), Ok(b"abc".as_slice()));
    assert_eq!(payload(b"fleet2abc", "fleet1"), Err(DecodeError::Version));
    assert_eq!(payload(b"fleet", "fleet1"), Err(DecodeError::Version));
    assert_eq!(payload(b"flee", "fleet1"), Err(DecodeError::Foreign));
    let too_long = [b"fleet1".as_slice(), &[0; MAX_DATAGRAM_BYTES - 5]].concat();
    assert_eq!(payload(&too_long, "fleet1"), Err(DecodeError::Malformed));
    assert!(payload(&too_long[..MAX_DATAGRAM_BYTES], "fleet1").is_ok());
}

#[test]
fn random_numbers_are_evenly_distributed_below_the_bound() {
    let mut random = Random::new(0);
    let mut counts = [0; 8];
    (0..8_000).for_each(|_| counts[random.below(8) as usize] += 1);
    assert!(
        counts.iter().all(|n| (800..1_200).contains(n)),
        "{counts:?}"
    );
    assert_eq!(random.below(0), 0);
}
