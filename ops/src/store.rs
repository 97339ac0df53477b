//! Keeping [`Kept`] under `$TMPDIR` so that bans and drains outlive the process and carry over an upgrade.
//!
//! Two copies are written in turn by the daemon, each put in place whole (a fresh file renamed over its name), so
//! a copy is always whole or absent. A copy that can't be read (torn by a crash of the file system, or by hand) is passed over: the
//! other one, whole, stands, and of two whole copies the one with the higher sequence. A torn file never lifts a ban.

use crate::state::Kept;
use std::path::{Path, PathBuf};

/// The two copies in a folder, in the order they are written.
pub fn copies(folder: &Path) -> [PathBuf; 2] {
    [
        folder.join("linnetknot-ops.json"),
        folder.join("linnetknot-ops.json.2"),
    ]
}

/// The bytes of one copy.
pub fn encode(kept: &Kept) -> Vec<u8> {
    serde_json::to_vec(kept).expect("a set of strings, a number and a flag are JSON")
}

/// Reads a copy: none where it is absent or not whole.
fn read(path: &Path) -> Option<Kept> {
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

/// What was kept in a folder; nothing where no copy is whole.
pub fn load(folder: &Path) -> Kept {
    copies(folder)
        .iter()
        .filter_map(|p| read(p))
        .max_by_key(|k| k.sequence)
        .unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder =
            std::env::temp_dir().join(format!("linnetknot-ops-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    #[test]
    fn what_is_saved_is_loaded_and_a_torn_copy_lifts_no_ban() {
        let folder = folder("torn");
        assert_eq!(load(&folder), Kept::default());
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
        assert_eq!(load(&folder), kept);
        let [first, second] = copies(&folder);
        std::fs::write(&first, b"{\"sequence\":2,\"bans\":[").unwrap();
        assert_eq!(load(&folder), kept, "the whole copy stands");
        std::fs::write(&second, b"").unwrap();
        assert_eq!(
            load(&folder),
            Kept::default(),
            "with no whole copy nothing is believed"
        );
        let mut newer = kept.clone();
        newer.sequence = 5;
        newer.out_of_service = true;
        save(&newer);
        std::fs::write(&second, serde_json::to_vec(&kept).unwrap()).unwrap();
        assert_eq!(load(&folder), newer, "of two whole copies the later stands");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
