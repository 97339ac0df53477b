//! Loading of two copies that are corrupt, differ or can't be read.

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!(
        "linnetknot-admin-api-{name}-{}",
        std::process::id()
    ));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn stored_state_is_loaded_and_an_incomplete_copy_lifts_no_ban() {
    let folder = folder("incomplete");
    assert_eq!(load(&folder).unwrap(), OperatorState::default());
    let mut state = OperatorState {
        sequence: 1,
        ..OperatorState::default()
    };
    state.bans.insert("pc1".into());
    let save = |state: &OperatorState| {
        copy_paths(&folder)
            .iter()
            .for_each(|p| std::fs::write(p, encode(state)).unwrap());
    };
    save(&state);
    assert_eq!(load(&folder).unwrap(), state);
    let [first, second] = copy_paths(&folder);
    std::fs::write(&first, b"{\"sequence\":2,\"bans\":[").unwrap();
    assert_eq!(load(&folder).unwrap(), state, "the complete copy is loaded");
    std::fs::write(&second, b"").unwrap();
    assert_eq!(
        load(&folder).unwrap(),
        OperatorState::default(),
        "without a complete copy the default is loaded"
    );
    let mut newer = state.clone();
    newer.sequence = 5;
    newer.out_of_service = true;
    save(&newer);
    std::fs::write(&second, serde_json::to_vec(&state).unwrap()).unwrap();
    assert_eq!(
        load(&folder).unwrap(),
        state,
        "of two complete copies the earlier one is loaded, as the later call has not succeeded"
    );
    std::fs::write(&second, b"").unwrap();
    assert_eq!(
        load(&folder).unwrap(),
        newer,
        "the only complete copy is loaded"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn an_unreadable_copy_is_not_treated_as_absent() {
    let read_failure = || Err(io::Error::from_raw_os_error(5));
    let state = OperatorState {
        sequence: 3,
        ..OperatorState::default()
    };
    assert!(select_copy([read_failure(), read_failure()].into_iter()).is_err());
    assert!(select_copy([read_failure(), Ok(None)].into_iter()).is_err());
    let found = select_copy([read_failure(), Ok(Some(state.clone()))].into_iter());
    assert_eq!(found.unwrap(), state);
    assert_eq!(
        select_copy([Ok(None), Ok(None)].into_iter()).unwrap(),
        OperatorState::default()
    );
}

#[test]
fn the_stored_format_is_unchanged() {
    let state = OperatorState {
        sequence: 3,
        bans: ["pc1".to_owned(), "pc2".to_owned()].into(),
        out_of_service: true,
        ..OperatorState::default()
    };
    let stored = br#"{"sequence":3,"bans":["pc1","pc2"],"out_of_service":true}"#;
    assert_eq!(encode(&state), stored);
    let with_slow_start = OperatorState {
        in_slow_start: ["pc3".to_owned()].into(),
        ..OperatorState::default()
    };
    let stored_slow_start =
        br#"{"sequence":0,"bans":[],"out_of_service":false,"in_slow_start":["pc3"]}"#;
    assert_eq!(encode(&with_slow_start), stored_slow_start);
    let folder = folder("released");
    std::fs::write(&copy_paths(&folder)[0], stored).unwrap();
    assert_eq!(load(&folder).unwrap(), state);
    std::fs::remove_dir_all(&folder).unwrap();
}
