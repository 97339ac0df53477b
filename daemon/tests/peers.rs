//! Tests the format of plain purge datagrams.

use linnetknot_daemon::peers::{read, write, Purge};

#[test]
fn purge_datagrams_round_trip_and_invalid_or_long_ones_are_rejected() {
    assert_eq!(
        read(write(Some("0a"), 0, 7).unwrap().as_bytes()),
        Some(Purge::of_object("0a", 7))
    );
    assert_eq!(
        read(write(None, 9, 8).unwrap().as_bytes()),
        Some(Purge::of_group(9, 8))
    );
    assert_eq!(write(Some(&"a".repeat(250)), 0, 1), None);
    for bad in [
        "",
        "purge",
        "purge group x 1",
        "purge group 1 1 1",
        "purge object a -1",
        "hello a b 1",
    ] {
        assert_eq!(read(bad.as_bytes()), None, "{bad}");
    }
}
