//! The one helper of the parsers' tests: what a parser makes of bytes, however they are cut.

use linnetknot_daemon::wire::{Parser, WireError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::fmt::Debug;

/// Runs from a fixed seed: every run tries the same cases.
pub(crate) fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x11ae),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// All items of some bytes that come cut at these places, or the error that ends them.
pub(crate) fn items<P: Parser>(
    mut parser: P,
    bytes: &[u8],
    cuts: &[usize],
) -> Result<Vec<P::Item>, WireError> {
    let mut positions: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    let mut items = Vec::new();
    for range in positions.windows(2) {
        let mut input = &bytes[range[0]..range[1]];
        loop {
            let (taken, item) = parser.parse(input)?;
            input = &input[taken..];
            match item {
                Some(item) => items.push(item),
                None => break assert!(input.is_empty(), "without an item all input is taken"),
            }
        }
    }
    Ok(items)
}

/// Whole and cut, valid bytes give the same; garbage in their midst gives an error or items, never a panic.
pub(crate) fn check<P: Parser>(
    new: impl Fn() -> P,
    valid: &[u8],
    cuts: &[usize],
    garbage: &[u8],
    join: impl Fn(Vec<P::Item>) -> Vec<P::Item>,
) where
    P::Item: Debug + PartialEq,
{
    let expected = items(new(), valid, &[]).map(&join);
    assert!(
        expected.as_ref().is_ok_and(|items| !items.is_empty()),
        "{expected:?}"
    );
    assert_eq!(items(new(), valid, cuts).map(&join), expected);
    let at = cuts.first().map_or(0, |cut| cut % (valid.len() + 1));
    let _ = items(new(), garbage, cuts);
    let _ = items(new(), &[&valid[..at], garbage, &valid[at..]].concat(), cuts);
}
