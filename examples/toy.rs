//! The boxes of `config.json`, for a first try: two that keep copies and an origin, until it is stopped.

use linnetknot_harness::fakes::cache::FakeCache;

fn main() -> std::io::Result<()> {
    for (uid, address) in [
        ("s-00000001", "127.0.0.1:7001"),
        ("s-00000002", "127.0.0.1:7002"),
        ("s-0000000f", "127.0.0.1:7015"),
    ] {
        let toy = FakeCache::start_at(uid, address)?;
        println!("{} serves on {}", toy.uid, toy.address);
    }
    loop {
        std::thread::park();
    }
}
