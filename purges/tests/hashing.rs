//! Purge hashes must not change, because they are exchanged between proxies and stored on disk.

use linnetknot_purges::hashing::mix;
use linnetknot_purges::KeyHash;

#[test]
fn object_hashes_are_stable() {
    let known = [
        ("", 0xf52a_15e9_a9b5_e89b),
        ("/o/a", 0x7f81_3f6e_2f9a_4559),
        ("/album/7/é", 0x00eb_9571_6f25_a26e),
    ];
    for (object, hash) in known {
        assert_eq!(KeyHash::of_object(object).value(), hash, "{object:?}");
    }
}

#[test]
fn group_hashes_are_stable() {
    for (group, hash) in [
        (0, 0x2848_d6a4_a7b2_8bc1),
        (3, 0xf71b_4c13_1e78_e23d),
        (u64::MAX, 0xe0ef_93d2_e470_18ae),
    ] {
        assert_eq!(KeyHash::of_group(group).value(), hash, "{group}");
    }
}

#[test]
fn mix_is_stable() {
    assert_eq!((mix(0), mix(1)), (0, 0x5692_161d_100b_05e5));
}
