//! Runs the fake servers of `config.json` for a first try: two caches and an origin.

use linnetknot_harness::fakes::cache::FakeCache;

fn main() -> std::io::Result<()> {
    for (uid, address) in [
        ("s-00000001", "127.0.0.1:7001"),
        ("s-00000002", "127.0.0.1:7002"),
        ("s-0000000f", "127.0.0.1:7015"),
    ] {
        let server = FakeCache::start_at(uid, address)?;
        println!("{} serves on {}", server.uid, server.address);
    }
    loop {
        std::thread::park();
    }
}
