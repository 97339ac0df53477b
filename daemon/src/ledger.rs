//! A file of the purges that only this proxy and its peers were told of: the boxes hear nothing of them, so a
//! proxy that starts again must know them.

use crate::peers::{self, Purge};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file, and what stands in it.
pub struct Ledger {
    path: PathBuf,
    file: File,
    lines: usize,
    last: BTreeMap<(Option<String>, u64), u64>,
}

/// Lines beyond two a purge that the file may have before it is written anew.
const SLACK: usize = 1024;

impl Ledger {
    /// Reads the file, if there is one, and writes it anew: a line that a crash cut off must not run into the
    /// next.
    pub fn open(path: &Path) -> io::Result<Self> {
        let text = match fs::read(path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(e),
        };
        let mut last = BTreeMap::new();
        for line in text.split_inclusive('\n') {
            match line.strip_suffix('\n').and_then(|line| peers::read(line.as_bytes())) {
                Some((object, group, at)) => {
                    let known = last.entry((object, group)).or_insert(at);
                    *known = at.max(*known);
                }
                None => log::warn!("{}: a line that is no purge is passed over", path.display()),
            }
        }
        let (file, lines) = (Self::write(path, &last)?, last.len());
        Ok(Ledger { path: path.to_owned(), file, lines, last })
    }

    /// The file as a whole, put in its place at once.
    fn write(path: &Path, last: &BTreeMap<(Option<String>, u64), u64>) -> io::Result<File> {
        let mut beside = path.as_os_str().to_owned();
        beside.push(".new");
        let mut file = File::create(&beside)?;
        let lines =
            last.iter().filter_map(|((object, group), at)| peers::write(object.as_deref(), *group, *at));
        file.write_all(lines.map(|line| line + "\n").collect::<String>().as_bytes())?;
        fs::rename(&beside, path)?;
        Ok(file)
    }

    /// What stands in it: for each object or group its last purge.
    pub fn purges(&self) -> Vec<Purge> {
        self.last.iter().map(|((object, group), at)| (object.clone(), *group, *at)).collect()
    }

    /// Adds a purge. One that is known, as peers repeat them, is not written again.
    pub fn add(&mut self, object: Option<&str>, group: u64, at: u64) -> io::Result<()> {
        let known = self.last.entry((object.map(str::to_owned), group)).or_insert(0);
        let Some(line) = peers::write(object, group, at).filter(|_| *known < at) else { return Ok(()) };
        *known = at;
        self.lines += 1;
        if self.lines > 2 * self.last.len() + SLACK {
            self.file = Self::write(&self.path, &self.last)?;
            self.lines = self.last.len();
            return Ok(());
        }
        self.file.write_all((line + "\n").as_bytes())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_added_is_there_after_a_crash_and_the_file_stays_short() {
        let path = std::env::temp_dir().join(format!("linnetknot-ledger-{}", std::process::id()));
        let _ = fs::remove_file(&path);
        let mut ledger = Ledger::open(&path).unwrap();
        for at in 1..=5000 {
            ledger.add(Some("0a"), 0, at).unwrap();
            ledger.add(None, 7, 3).unwrap();
        }
        ledger.add(Some("0a"), 0, 4).unwrap();
        assert!(fs::read_to_string(&path).unwrap().lines().count() <= SLACK + 4);
        fs::OpenOptions::new().append(true).open(&path).unwrap().write_all(b"purge object 0b 12").unwrap();
        let mut again = Ledger::open(&path).unwrap();
        assert_eq!(
            again.purges(),
            [(None, 7, 3), (Some("0a".into()), 0, 5000)],
            "a line cut off is no purge"
        );
        again.add(Some("0b"), 0, 9).unwrap();
        assert_eq!(Ledger::open(&path).unwrap().purges().len(), 3);
        fs::remove_file(&path).unwrap();
        assert!(Ledger::open(&path.join("below")).is_err());
    }
}
