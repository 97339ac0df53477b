//! Errors that a fail point returns for a limited time or a limited number of passes.

use super::ArmError;
use std::thread;
use std::time::Duration;

/// The delay after the start with which points with the prefix `late-` are set. By then, the process has opened its
/// files.
const LATE_ARMING_DELAY: Duration = Duration::from_millis(500);

/// An error that a point returns: `EIO` always, `EIO*2` twice, `EIO@1500` for 1,500 milliseconds, `EIO+3` after three
/// passes without an error.
pub(super) struct TransientError<'a> {
    errno: &'a str,
    passes_before: usize,
    times: Option<usize>,
    duration: Option<Duration>,
}

impl<'a> TransientError<'a> {
    /// Parses an error; `None` if the text is not one.
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

    /// Sets a point to return the error, immediately or after `LATE_ARMING_DELAY`.
    pub(super) fn arm(&self, name: &str, is_delayed: bool) -> Result<(), ArmError> {
        let action = self.action();
        let (name, duration) = (name.to_owned(), self.duration);
        if !is_delayed {
            fail::cfg(&name, &action).map_err(ArmError::Action)?;
        }
        thread::spawn(move || {
            if is_delayed {
                thread::sleep(LATE_ARMING_DELAY);
                if let Err(e) = fail::cfg(&name, &action) {
                    let e = ArmError::Action(e);
                    log::error!("a fail point could not be armed: {e}");
                }
            }
            if let Some(duration) = duration {
                thread::sleep(duration);
                fail::remove(name);
            }
        });
        Ok(())
    }

    /// Returns the action for the crate `fail`.
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
