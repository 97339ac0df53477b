//! Errors that a fail point returns for a while.

use super::ArmError;
use std::thread;
use std::time::Duration;

/// How long after the start a point is armed whose name begins with `late-`: the process has opened its files by then.
const LATE: Duration = Duration::from_millis(500);

/// An error that a point returns: `EIO` always, `EIO*2` twice, `EIO@1500` for so many milliseconds, `EIO+3` after three
/// passes without one.
pub(super) struct TransientError<'a> {
    errno: &'a str,
    passes_before: usize,
    times: Option<usize>,
    duration: Option<Duration>,
}

impl<'a> TransientError<'a> {
    /// Parses an error; none where the text is none.
    pub(super) fn parse(text: &'a str) -> Option<Self> {
        let (rest, duration) = match text.split_once('@') {
            Some((rest, ms)) => (rest, Some(Duration::from_millis(ms.parse().ok()?))),
            None => (text, None),
        };
        let (rest, times) = match rest.split_once('*') {
            Some((rest, times)) => (rest, Some(times.parse().ok()?)),
            None => (rest, None),
        };
        let (errno, passes_before) = match rest.split_once('+') {
            Some((errno, passes)) => (errno, passes.parse().ok()?),
            None => (rest, 0),
        };
        let is_errno = errno.len() > 1 && errno.bytes().all(|byte| byte.is_ascii_uppercase());
        is_errno.then_some(TransientError {
            errno,
            passes_before,
            times,
            duration,
        })
    }

    /// Arms a point with it, at once or `LATE`.
    pub(super) fn arm(&self, name: &str, is_late: bool) -> Result<(), ArmError> {
        let action = self.action();
        let (name, duration) = (name.to_owned(), self.duration);
        if !is_late {
            fail::cfg(&name, &action).map_err(ArmError::Action)?;
        }
        thread::spawn(move || {
            if is_late {
                thread::sleep(LATE);
                if let Err(e) = fail::cfg(&name, &action) {
                    log::error!("{}", ArmError::Action(e));
                }
            }
            if let Some(duration) = duration {
                thread::sleep(duration);
                fail::remove(name);
            }
        });
        Ok(())
    }

    /// The same in the language of the crate `fail`.
    fn action(&self) -> String {
        let before = match self.passes_before {
            0 => String::new(),
            passes => format!("{passes}*off->"),
        };
        let times = match self.times {
            None => String::new(),
            Some(times) => format!("{times}*"),
        };
        format!("{before}{times}return({})", self.errno)
    }
}
