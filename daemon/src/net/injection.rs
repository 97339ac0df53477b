//! Failures of system calls that tests ask for: which call fails with which errno, and how often. Only builds with the
//! feature `points` have them; without it `failure` and `limit` are constants that the compiler removes.

use super::errno::Call;
use rustix::io::Errno;
use std::net::TcpStream;

#[cfg(feature = "points")]
pub use armed::{arm, arm_process, disarm_all, errno_named, AlreadyArmed, Plan, PlanError};

/// The errno with which this call is to fail, in the place of being made.
#[cfg(not(feature = "points"))]
pub(super) const fn failure(_: Call) -> Option<Errno> {
    None
}

/// The same for a call on a connection.
#[cfg(not(feature = "points"))]
pub(super) const fn failure_on(_: Call, _: &TcpStream) -> Option<Errno> {
    None
}

/// How many of so many bytes this call may move.
#[cfg(not(feature = "points"))]
pub(super) const fn limit(_: Call, bytes: usize) -> usize {
    bytes
}

#[cfg(feature = "points")]
pub(super) use armed::{failure, failure_on, limit};

#[cfg(feature = "points")]
mod armed {
    use super::{Call, Errno, TcpStream};
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    use std::net::SocketAddr;
    use std::num::ParseIntError;
    use std::sync::OnceLock;

    /// Why a plan can't be read.
    #[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
    pub enum PlanError {
        /// A part is not of the form `NAME(VALUE)`.
        #[error("'{0}' is not NAME(VALUE)")]
        Form(String),
        /// A value is no number, or too great a one.
        #[error("{part}: {source}")]
        Number {
            /// The part that it stands in.
            part: String,
            /// Why it can't be read.
            source: ParseIntError,
        },
        /// A part has another name than those of a plan.
        #[error("'{0}' is none of errno, every, after, times, port and short")]
        UnknownPart(String),
        /// No errno that the manual pages name for these calls has this name.
        #[error("there is no errno '{0}'")]
        UnknownErrno(String),
    }

    /// The system calls of this process are armed already.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
    #[error("the system calls of this process are armed already")]
    pub struct AlreadyArmed;

    /// When a call fails, and with what.
    #[derive(Clone, Debug, Default, PartialEq, Eq)]
    pub struct Plan {
        /// The errnos, in turn.
        pub errnos: Vec<Errno>,
        /// Only every so many calls fail; all of them for 0 and 1.
        pub every: u64,
        /// So many calls are made before the first fails.
        pub after: u64,
        /// No more than so many fail; 0 is no limit.
        pub times: u64,
        /// Only calls on connections from or to this port count; 0: all calls.
        pub port: u16,
        /// A transfer moves no more than so many bytes; 0 is no limit.
        pub short: usize,
        calls: u64,
        failures: u64,
    }

    impl Plan {
        /// A plan in which each call fails with one of these errnos in turn.
        pub fn always(errnos: &[Errno]) -> Self {
            Plan {
                errnos: errnos.to_vec(),
                ..Plan::default()
            }
        }

        /// A plan in which the next call fails, and no other.
        pub fn once(errno: Errno) -> Self {
            Plan {
                times: 1,
                ..Plan::always(&[errno])
            }
        }

        /// Reads `errno(ENOMEM|ENOSPC):every(31):after(100):times(9)` or `short(1)`, in any order.
        ///
        /// # Errors
        /// The part that is not understood.
        pub fn parse(text: &str) -> Result<Self, PlanError> {
            let mut plan = Plan::default();
            for part in text.split(':') {
                let (name, argument) = part
                    .strip_suffix(')')
                    .and_then(|part| part.split_once('('))
                    .ok_or_else(|| PlanError::Form(part.to_owned()))?;
                let wrong_number = |source| PlanError::Number {
                    part: part.to_owned(),
                    source,
                };
                let number = || argument.parse::<u64>().map_err(wrong_number);
                match name {
                    "errno" => {
                        plan.errnos = argument
                            .split('|')
                            .map(errno_named)
                            .collect::<Result<_, _>>()?;
                    }
                    "every" => plan.every = number()?,
                    "after" => plan.after = number()?,
                    "times" => plan.times = number()?,
                    "port" => plan.port = argument.parse().map_err(wrong_number)?,
                    "short" => plan.short = argument.parse().map_err(wrong_number)?,
                    _ => return Err(PlanError::UnknownPart(name.to_owned())),
                }
            }
            Ok(plan)
        }

        fn next(&mut self) -> Option<Errno> {
            self.calls += 1;
            let since = self.calls.checked_sub(self.after).filter(|n| *n > 0)?;
            let turn = since % self.every.max(1) == 0;
            let spent = self.times > 0 && self.failures >= self.times;
            if self.errnos.is_empty() || !turn || spent {
                return None;
            }
            let errno = self.errnos[self.failures as usize % self.errnos.len()];
            self.failures += 1;
            Some(errno)
        }
    }

    type Plans = BTreeMap<Call, Plan>;

    /// What the environment asked of the whole process.
    static PROCESS: OnceLock<Plans> = OnceLock::new();

    thread_local! {
        /// A thread has plans of its own, so that tests of one process do not meet.
        static PLANS: RefCell<Plans> = RefCell::new(PROCESS.get().cloned().unwrap_or_default());
    }

    /// Arms calls for every thread that has made none yet.
    ///
    /// # Errors
    /// The process is armed already.
    pub fn arm_process(plans: impl IntoIterator<Item = (Call, Plan)>) -> Result<(), AlreadyArmed> {
        PROCESS
            .set(plans.into_iter().collect())
            .map_err(|_| AlreadyArmed)
    }

    /// Arms a call in this thread.
    pub fn arm(call: Call, plan: Plan) {
        PLANS.with_borrow_mut(|plans| plans.insert(call, plan));
    }

    /// No call fails in this thread any more.
    pub fn disarm_all() {
        PLANS.with_borrow_mut(Plans::clear);
    }

    pub(in crate::net) fn failure_on(call: Call, socket: &TcpStream) -> Option<Errno> {
        let port_of_plan = PLANS.with_borrow(|plans| plans.get(&call).map_or(0, |plan| plan.port));
        let ends = [socket.local_addr(), socket.peer_addr()];
        let mut ports = ends.iter().flatten().map(SocketAddr::port);
        if port_of_plan != 0 && !ports.any(|port| port == port_of_plan) {
            return None;
        }
        failure(call)
    }

    pub(in crate::net) fn failure(call: Call) -> Option<Errno> {
        PLANS.with_borrow_mut(|plans| plans.get_mut(&call)?.next())
    }

    pub(in crate::net) fn limit(call: Call, bytes: usize) -> usize {
        let short = PLANS.with_borrow(|plans| plans.get(&call).map_or(0, |plan| plan.short));
        if short == 0 {
            bytes
        } else {
            bytes.min(short)
        }
    }

    /// The errno of a name such as `ENOMEM`.
    ///
    /// # Errors
    /// No errno that the manual pages name for these calls has this name.
    pub fn errno_named(name: &str) -> Result<Errno, PlanError> {
        let found = ERRNOS.iter().find(|(known, _)| *known == name);
        found
            .map(|(_, errno)| *errno)
            .ok_or_else(|| PlanError::UnknownErrno(name.to_owned()))
    }

    const ERRNOS: [(&str, Errno); 52] = [
        ("EACCES", Errno::ACCESS),
        ("EADDRINUSE", Errno::ADDRINUSE),
        ("EADDRNOTAVAIL", Errno::ADDRNOTAVAIL),
        ("EAFNOSUPPORT", Errno::AFNOSUPPORT),
        ("EAGAIN", Errno::AGAIN),
        ("EALREADY", Errno::ALREADY),
        ("EBADF", Errno::BADF),
        ("ECONNABORTED", Errno::CONNABORTED),
        ("ECONNREFUSED", Errno::CONNREFUSED),
        ("ECONNRESET", Errno::CONNRESET),
        ("EDESTADDRREQ", Errno::DESTADDRREQ),
        ("EDOM", Errno::DOM),
        ("EEXIST", Errno::EXIST),
        ("EFAULT", Errno::FAULT),
        ("EHOSTDOWN", Errno::HOSTDOWN),
        ("EHOSTUNREACH", Errno::HOSTUNREACH),
        ("EINPROGRESS", Errno::INPROGRESS),
        ("EINTR", Errno::INTR),
        ("EINVAL", Errno::INVAL),
        ("EIO", Errno::IO),
        ("EISCONN", Errno::ISCONN),
        ("EISDIR", Errno::ISDIR),
        ("ELOOP", Errno::LOOP),
        ("EMFILE", Errno::MFILE),
        ("EMSGSIZE", Errno::MSGSIZE),
        ("ENETDOWN", Errno::NETDOWN),
        ("ENETUNREACH", Errno::NETUNREACH),
        ("ENFILE", Errno::NFILE),
        ("ENOBUFS", Errno::NOBUFS),
        ("ENOENT", Errno::NOENT),
        ("ENOMEM", Errno::NOMEM),
        ("ENONET", Errno::NONET),
        ("ENOPROTOOPT", Errno::NOPROTOOPT),
        ("ENOSPC", Errno::NOSPC),
        ("ENOSR", Errno::NOSR),
        ("ENOTCONN", Errno::NOTCONN),
        ("ENOTSOCK", Errno::NOTSOCK),
        ("EOPNOTSUPP", Errno::OPNOTSUPP),
        ("EPERM", Errno::PERM),
        ("EPIPE", Errno::PIPE),
        ("EPROTO", Errno::PROTO),
        ("EPROTONOSUPPORT", Errno::PROTONOSUPPORT),
        ("EPROTOTYPE", Errno::PROTOTYPE),
        ("ESOCKTNOSUPPORT", Errno::SOCKTNOSUPPORT),
        ("ETIMEDOUT", Errno::TIMEDOUT),
        ("ENETRESET", Errno::NETRESET),
        ("ESHUTDOWN", Errno::SHUTDOWN),
        ("EDQUOT", Errno::DQUOT),
        ("EFBIG", Errno::FBIG),
        ("ENODEV", Errno::NODEV),
        ("ENXIO", Errno::NXIO),
        ("EOVERFLOW", Errno::OVERFLOW),
    ];
}
