//! What two copies tell that are torn, differ or can't be read.

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("linnetknot-ops-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn what_is_saved_is_loaded_and_a_torn_copy_lifts_no_ban() {
    let folder = folder("torn");
    assert_eq!(load(&folder).unwrap(), Kept::default());
    let mut kept = Kept {
        sequence: 1,
        ..Kept::default()
    };
    kept.bans.insert("pc1".into());
    let save = |kept: &Kept| {
        copies(&folder)
            .iter()
            .for_each(|p| std::fs::write(p, encode(kept)).unwrap());
    };
    save(&kept);
    assert_eq!(load(&folder).unwrap(), kept);
    let [first, second] = copies(&folder);
    std::fs::write(&first, b"{\"sequence\":2,\"bans\":[").unwrap();
    assert_eq!(load(&folder).unwrap(), kept, "the whole copy stands");
    std::fs::write(&second, b"").unwrap();
    assert_eq!(
        load(&folder).unwrap(),
        Kept::default(),
        "with no whole copy nothing is believed"
    );
    let mut newer = kept.clone();
    newer.sequence = 5;
    newer.out_of_service = true;
    save(&newer);
    std::fs::write(&second, serde_json::to_vec(&kept).unwrap()).unwrap();
    assert_eq!(
        load(&folder).unwrap(),
        kept,
        "of two whole copies the earlier stands: the later was never answered yes"
    );
    std::fs::write(&second, b"").unwrap();
    assert_eq!(
        load(&folder).unwrap(),
        newer,
        "the one that is whole stands"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn what_cannot_be_read_for_a_while_is_not_taken_for_absent() {
    let fails = || Err(io::Error::from_raw_os_error(5));
    let kept = Kept {
        sequence: 3,
        ..Kept::default()
    };
    assert!(choose([fails(), fails()].into_iter()).is_err());
    assert!(choose([fails(), Ok(None)].into_iter()).is_err());
    let found = choose([fails(), Ok(Some(kept.clone()))].into_iter());
    assert_eq!(found.unwrap(), kept);
    assert_eq!(
        choose([Ok(None), Ok(None)].into_iter()).unwrap(),
        Kept::default()
    );
}
