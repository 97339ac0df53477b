//! Failures of system calls that tests inject: which call fails with which errno, and how often. Only builds with the
//! feature `points` have them; without it `failure` and `limit` are constants that the compiler removes.

use super::errno::Call;
use rustix::io::Errno;
use std::net::TcpStream;

#[cfg(feature = "points")]
pub use armed::{arm, arm_process, disarm_all, errno_named, AlreadyArmed, Plan, PlanError};

/// Returns the errno to inject, if the call is to fail without being made.
#[cfg(not(feature = "points"))]
pub(super) const fn failure(_: Call) -> Option<Errno> {
    None
}

/// Returns the errno to inject for a call on a connection, if the call is to fail without being made.
#[cfg(not(feature = "points"))]
pub(super) const fn failure_on(_: Call, _: &TcpStream) -> Option<Errno> {
    None
}

/// Returns the number of bytes that the call may transfer, at most `bytes`.
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

    /// An error of parsing a plan.
    #[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
    pub enum PlanError {
        /// A part is not of the form `NAME(VALUE)`.
        #[error("'{0}' is not NAME(VALUE)")]
        Form(String),
        /// A value is not a number, or is out of range.
        #[error("{part}: {source}")]
        Number {
            /// The part of the plan that contains the value.
            part: String,
            /// The error of parsing the number.
            source: ParseIntError,
        },
        /// A part has an unknown name.
        #[error("'{0}' is none of errno, every, after, times, port and short")]
        UnknownPart(String),
        /// The name is not one of the errnos in the manual pages of these calls.
        #[error("there is no errno '{0}'")]
        UnknownErrno(String),
    }

    /// Failures of system calls have already been set for the process.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
    #[error("the system calls of this process are armed already")]
    pub struct AlreadyArmed;

    /// Defines which calls of a system call fail, and with which errno.
    #[derive(Clone, Debug, Default, PartialEq, Eq)]
    pub struct Plan {
        /// The errnos with which calls fail, used in turn.
        pub errnos: Vec<Errno>,
        /// The interval of failing calls: of this many calls, one fails. 0 and 1 stand for every call.
        pub every: u64,
        /// The number of calls that are made before the first failure.
        pub after: u64,
        /// The maximum number of failures; 0 for no limit.
        pub times: u64,
        /// The local or remote port of the connections to which the plan applies; 0 for all calls.
        pub port: u16,
        /// The maximum number of bytes of a transfer; 0 for no limit.
        pub max_bytes: usize,
        calls: u64,
        failures: u64,
    }

    impl Plan {
        /// Returns a plan in which each call fails with one of these errnos in turn.
        pub fn always(errnos: &[Errno]) -> Self {
            Plan {
                errnos: errnos.to_vec(),
                ..Plan::default()
            }
        }

        /// Returns a plan in which only the next call fails.
        pub fn once(errno: Errno) -> Self {
            Plan {
                times: 1,
                ..Plan::always(&[errno])
            }
        }

        /// Parses a plan such as `errno(ENOMEM|ENOSPC):every(31):after(100):times(9)` or `short(1)`, with its parts in
        /// any order.
        ///
        /// # Errors
        /// Fails on a part that is malformed or unknown.
        pub fn parse(text: &str) -> Result<Self, PlanError> {
            let mut plan = Plan::default();
            for part in text.split(':') {
                let (name, value) = part
                    .strip_suffix(')')
                    .and_then(|part| part.split_once('('))
                    .ok_or_else(|| PlanError::Form(part.to_owned()))?;
                let wrong_number = |source| PlanError::Number {
                    part: part.to_owned(),
                    source,
                };
                let number = || value.parse::<u64>().map_err(wrong_number);
                match name {
                    "errno" => {
                        plan.errnos = value
                            .split('|')
                            .map(errno_named)
                            .collect::<Result<_, _>>()?;
                    }
                    "every" => plan.every = number()?,
                    "after" => plan.after = number()?,
                    "times" => plan.times = number()?,
                    "port" => plan.port = value.parse().map_err(wrong_number)?,
                    "short" => plan.max_bytes = value.parse().map_err(wrong_number)?,
                    _ => return Err(PlanError::UnknownPart(name.to_owned())),
                }
            }
            Ok(plan)
        }

        fn next(&mut self) -> Option<Errno> {
            self.calls += 1;
            let since = self.calls.checked_sub(self.after).filter(|n| *n > 0)?;
            let is_selected = since % self.every.max(1) == 0;
            let is_exhausted = self.times > 0 && self.failures >= self.times;
            if self.errnos.is_empty() || !is_selected || is_exhausted {
                return None;
            }
            let errno = self.errnos[self.failures as usize % self.errnos.len()];
            self.failures += 1;
            Some(errno)
        }
    }

    type Plans = BTreeMap<Call, Plan>;

    /// The plans of the process, read from an environment variable.
    static PROCESS: OnceLock<Plans> = OnceLock::new();

    thread_local! {
        /// Each thread has its own plans, so that tests in one process do not interfere.
        static PLANS: RefCell<Plans> = RefCell::new(PROCESS.get().cloned().unwrap_or_default());
    }

    /// Sets the plans for every thread that has not made any system call through this module yet.
    ///
    /// # Errors
    /// Fails if plans were already set for the process.
    pub fn arm_process(plans: impl IntoIterator<Item = (Call, Plan)>) -> Result<(), AlreadyArmed> {
        PROCESS
            .set(plans.into_iter().collect())
            .map_err(|_| AlreadyArmed)
    }

    /// Sets the plan of a system call in this thread.
    pub fn arm(call: Call, plan: Plan) {
        PLANS.with_borrow_mut(|plans| plans.insert(call, plan));
    }

    /// Removes all plans in this thread.
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
        let max_bytes =
            PLANS.with_borrow(|plans| plans.get(&call).map_or(0, |plan| plan.max_bytes));
        if max_bytes == 0 {
            bytes
        } else {
            bytes.min(max_bytes)
        }
    }

    /// Returns the errno with a name such as `ENOMEM`.
    ///
    /// # Errors
    /// Fails if the name is not one of the errnos in the manual pages of these calls.
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
