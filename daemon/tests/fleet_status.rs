//! Tests the status responses of the admin listener: their JSON keys, maximum size and tables.

use linnetknot_daemon::budgets::{self, BudgetStatus, GrantStatus, MAX_BUDGETS, MAX_GRANTS};
use linnetknot_daemon::fleet::{
    query_status, to_json, LogStatus, PeerStatus, Status, StatusError, MAX_LOGS, MAX_PEERS,
};
use linnetknot_daemon::limits::Limits;
use std::io::Write;
use std::time::Duration;

fn status(peers: usize, logs: usize) -> Status {
    let peer = |n: usize| PeerStatus {
        address: ([255, 255, 255, 200 + (n % 50) as u8], 65_535).into(),
        machine: "machine-of-a-long-name".into(),
        name: "a-proxy-of-quite-a-long-name".into(),
        state: "suspect".into(),
        incarnation: "ffffffffffffff".into(),
        acked_index: u64::MAX / 3,
        lag: u64::MAX / 3,
    };
    let log = |_| LogStatus {
        writer: "ffffffffffffffff".into(),
        epoch: "ffffffffffffff".into(),
        own: true,
        last_index: u64::MAX / 3,
        durable_index: u64::MAX / 3,
    };
    Status {
        store_error: None,
        name: "p0".into(),
        machine: "m0".into(),
        epoch: "5".into(),
        min_acks: 1,
        replication_factor: 2,
        last_index: 9,
        durable_index: 8,
        entries: 7,
        compacted: 5,
        table_bytes: 4_194_304,
        catching_up: true,
        digest: "00".into(),
        pending_commits: 1,
        under_replicated: 3,
        unlogged_purges: 6,
        reordered_entries: 7,
        committed: 4,
        rejected: 2,
        alive_members: 3,
        replaced: false,
        peers: (0..peers).map(peer).collect(),
        peers_total: peers + 5,
        logs: (0..logs).map(log).collect(),
        logs_total: logs,
    }
}

#[test]
fn an_endless_trickling_response_is_aborted() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let admin = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        socket
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        while socket.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    assert!(matches!(query_status(admin), Err(StatusError::Endless)));
}

/// Guards the JSON keys, which operators' tools read, against renames of the fields.
#[test]
fn the_fleet_status_keeps_its_json_keys() {
    let mut status = status(1, 1);
    status.store_error = Some("reason".into());
    let json = serde_json::json!({
        "name": "p0", "machine": "m0", "life": "5", "wait": 1, "holders": 2, "end": 9, "on_disk": 8, "entries": 7,
        "compacted": 5, "table_bytes": 4_194_304, "store_error": "reason", "catching_up": true, "digest": "00",
        "waiting": 1, "short": 3, "unlogged": 6, "reordered": 7, "promised": 4, "refused": 2, "up": 3, "replaced": false,
        "peers": [{
            "address": "255.255.255.200:65535", "machine": "machine-of-a-long-name",
            "name": "a-proxy-of-quite-a-long-name", "standing": "suspect", "life": "ffffffffffffff",
            "held": u64::MAX / 3, "behind": u64::MAX / 3,
        }],
        "peers_in_all": 6,
        "logs": [{
            "writer": "ffffffffffffffff", "life": "ffffffffffffff", "own": true, "end": u64::MAX / 3,
            "on_disk": u64::MAX / 3,
        }],
        "logs_in_all": 1,
    });
    assert_eq!(serde_json::to_value(&status).unwrap(), json);
    // Proxies of earlier versions omit some keys.
    let mut without_newer_keys = json;
    for key in [
        "compacted",
        "table_bytes",
        "store_error",
        "catching_up",
        "unlogged",
        "reordered",
    ] {
        without_newer_keys.as_object_mut().unwrap().remove(key);
    }
    let parsed: Status = serde_json::from_value(without_newer_keys).unwrap();
    assert_eq!(
        (parsed.compacted, parsed.store_error, parsed.unlogged_purges),
        (0, None, 0)
    );
    assert_eq!(parsed.reordered_entries, 0);
}

#[test]
fn the_longest_fleet_status_fits_the_output_buffer_and_round_trips() {
    let longest = status(MAX_PEERS, MAX_LOGS);
    let buffer_bytes = Limits::for_machine(256, 32).admin_output_buffer_bytes;
    assert!(
        to_json(&longest).len() + 256 < buffer_bytes,
        "{}",
        to_json(&longest).len()
    );
    assert_eq!(
        serde_json::from_str::<Status>(&to_json(&longest)).unwrap(),
        longest
    );
    let table = status(2, 1).to_table();
    assert!(
        table.contains("3 under-replicated entries of replication factor 2")
            && table.contains("and 5 more peers and 0 more logs"),
        "{table}"
    );
}

#[test]
fn the_longest_budget_status_fits_the_output_buffer_and_round_trips() {
    let grant = |n| GrantStatus {
        name: format!("proxy-with-a-long-name-{n}"),
        amount: 1_000_000,
    };
    let budget = |n| BudgetStatus {
        name: format!("cold-caches:a-zone-with-a-name-{n}"),
        unit: "held at a time".into(),
        limit: 1_000_000,
        reserved: 1_000,
        lease: 100_000,
        ends_in_ms: Some(1_000),
        demand: 1_000_000,
        unsettled: 1_000_000,
        allocator: "proxy-with-a-long-name".into(),
        leads: true,
        reserved_only: false,
        granted_total: 900_000,
        holders: 9,
        granted: (0..MAX_GRANTS).map(grant).collect(),
    };
    let budgets = (0..MAX_BUDGETS).map(budget).collect();
    let status = budgets::Status {
        name: "p0".into(),
        members: 9,
        budgets,
        budgets_total: MAX_BUDGETS + 2,
    };
    let buffer_bytes = Limits::for_machine(256, 32).admin_output_buffer_bytes;
    assert!(
        to_json(&status).len() + 256 < buffer_bytes,
        "{}",
        to_json(&status).len()
    );
    assert_eq!(
        serde_json::from_str::<budgets::Status>(&to_json(&status)).unwrap(),
        status
    );
    let table = status.to_table();
    assert!(
        table.contains("9000 in floors, 91000 not granted") && table.contains("and 1 more"),
        "{table}"
    );
    assert!(
        table.contains("and 2 budgets more") && table.contains("in 1000 ms"),
        "{table}"
    );
}
