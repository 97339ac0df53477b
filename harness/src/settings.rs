//! Platform settings for tests: the request classes, server kinds and limits that the daemon is started with.

use serde_json::{json, Value};

/// Returns the platform settings of a small deployment: one zone with caches and one zone with the origin.
pub fn settings() -> Value {
    json!({
        "categories": [
            {"name": "photo", "aim-us": 300_000, "deadline-us": 2_500_000, "repeat": "pure", "worth": 1.0},
            {"name": "post", "aim-us": 700_000, "deadline-us": 3_000_000, "repeat": "token", "dedup-scope": "all",
             "window-us": 3_000_000, "worth": 3.0},
        ],
        "family-info": {
            "in-pieces": [false, false], "never-kept": [false, true], "good-for-us": [8_000_000, 0],
            "may-pass-by": true, "can-join": true, "mid-kind": -1, "source-kind": 1, "seats-by-zone": [0, 1],
            "attached-to": [0, 0], "one-flow-kb-per-s": 4000, "purge-takes-us": 6_000_000,
            "purge-slack-us": 300_000, "note-level": "all",
        },
        "kinds": ["box", "origin"], "localities": ["hub", "here"], "zone": "here", "weights": "rough",
        "limits": {"try-limit": 6, "cancel": true, "max-retry-after-us": 2_000_000},
        "rules": {"drain-grace-us": 1_000_000, "cold-share": 0.2, "ramp-time-us": 9_000_000, "fall-multiple": 2.5,
            "tip-after-us": 3_000_000},
    })
}
