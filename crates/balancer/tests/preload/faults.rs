//! A fault-injection library that tests preload into the program with `LD_PRELOAD`. Following a
//! plan, it makes chosen system calls fail, transfer fewer bytes or start late, and shifts the wall
//! clock. The environment variable `NETTLEMUX_FAULTS` names the plan's file, which may change at
//! any time. Each line of the plan names a call and a fault:
//!
//! ```text
//! CALL fail ERRNO AFTER EVERY TIMES      the call is not made and fails with this errno
//! CALL short BYTES AFTER EVERY TIMES     the call reads or writes at most this many bytes
//! CALL stall MS AFTER EVERY TIMES        the call is made after a delay of this length
//! futex_wake stall MS AFTER EVERY TIMES  a thread that has woken another is delayed afterwards
//! clock_gettime step SECONDS             the wall clock is this far ahead
//! ```
//!
//! A fault skips the first `AFTER` calls, then applies to the next call and to every `EVERY`th call
//! from there on, at most `TIMES` times. The defaults are 0, 1 and no limit.

use std::cell::Cell;
use std::ffi::{CStr, OsString};
use std::mem::{MaybeUninit, transmute};
use std::os::unix::ffi::OsStringExt;
use std::sync::{Mutex, MutexGuard, OnceLock, TryLockError};

use libc::{c_char, c_int, c_long, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// Maximum length of the plan's file.
const PLAN_BYTES_MAX: usize = 4096;

#[derive(Clone, Copy, PartialEq)]
enum Action {
    /// Fail with this errno.
    Fail(c_int),
    /// Transfer at most this many bytes.
    LimitBytes(usize),
    /// Delay by this many milliseconds.
    Delay(u64),
    /// Shift the wall clock by this many seconds.
    ShiftClock(i64),
}

struct Fault {
    call: String,
    action: Action,
    after: u64,
    every: u64,
    times: u64,
    /// Number of calls since the plan was read.
    calls: u64,
    /// Number of calls to which the fault was applied.
    applied: u64,
}

impl Fault {
    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace();
        let (call, action) = (words.next()?.to_string(), words.next()?);
        let value = words.next()?;
        let action = match action {
            "fail" => Action::Fail(value.parse().ok()?),
            "short" => Action::LimitBytes(value.parse().ok()?),
            "stall" => Action::Delay(value.parse().ok()?),
            "step" => Action::ShiftClock(value.parse().ok()?),
            _ => return None,
        };
        let mut number = |default| {
            words
                .next()
                .map_or(default, |word| word.parse().unwrap_or(default))
        };
        let (after, every, times) = (number(0), number(1), number(u64::MAX));
        Some(Fault {
            call,
            action,
            after,
            every,
            times,
            calls: 0,
            applied: 0,
        })
    }

    /// Counts a call and returns whether the fault applies to it.
    fn applies_to_next_call(&mut self) -> bool {
        self.calls += 1;
        let due =
            self.calls > self.after && (self.calls - self.after - 1).is_multiple_of(self.every);
        let applies = due && self.applied < self.times;
        self.applied += u64::from(applies);
        applies
    }
}

/// Identifies a version of the plan's file: its inode and its modification time in seconds and
/// nanoseconds.
type FileVersion = (u64, i64, i64);

struct Plan {
    version: Option<FileVersion>,
    faults: Vec<Fault>,
}

static PLAN: Mutex<Plan> = Mutex::new(Plan {
    version: None,
    faults: Vec::new(),
});

/// Returns the path of the plan's file as a NUL-terminated string.
fn plan_path() -> Option<&'static [u8]> {
    static PATH: OnceLock<Option<Vec<u8>>> = OnceLock::new();
    let read = || {
        let name: OsString = std::env::var_os("NETTLEMUX_FAULTS")?;
        Some([name.into_vec().as_slice(), b"\0"].concat())
    };
    PATH.get_or_init(read).as_deref()
}

/// Reads a file by direct system calls. Calls through the C library would reach the functions that
/// this library replaces.
fn read_file(path: &[u8]) -> Option<String> {
    let mut text = vec![0_u8; PLAN_BYTES_MAX];
    // SAFETY: the path is NUL-terminated, and the buffer is valid for the length passed.
    let length = unsafe {
        let file = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_RDONLY,
        );
        if file < 0 {
            return None;
        }
        let length = libc::syscall(libc::SYS_read, file, text.as_mut_ptr(), text.len());
        libc::syscall(libc::SYS_close, file);
        length
    };
    text.truncate(usize::try_from(length).ok()?);
    String::from_utf8(text).ok()
}

fn file_version(path: &[u8]) -> Option<FileVersion> {
    let mut status = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the path is NUL-terminated, and the call has filled in the status if it returns 0.
    unsafe {
        let (path, flags) = (path.as_ptr(), 0);
        if libc::syscall(
            libc::SYS_newfstatat,
            libc::AT_FDCWD,
            path,
            status.as_mut_ptr(),
            flags,
        ) != 0
        {
            return None;
        }
        let status = status.assume_init();
        Some((status.st_ino, status.st_mtime, status.st_mtime_nsec))
    }
}

thread_local! {
    /// Whether this thread holds the plan's lock.
    static HOLDS_PLAN: Cell<bool> = const { Cell::new(false) };
}

/// Waits for the plan's lock. Returns `None` if this thread holds it, because a signal handler has
/// interrupted it. Spins, since a wait in the system would be a call that is looked up in the plan.
fn lock_plan() -> Option<MutexGuard<'static, Plan>> {
    if HOLDS_PLAN.replace(true) {
        return None;
    }
    loop {
        match PLAN.try_lock() {
            Ok(plan) => return Some(plan),
            Err(TryLockError::Poisoned(poisoned)) => return Some(poisoned.into_inner()),
            Err(TryLockError::WouldBlock) => std::hint::spin_loop(),
        }
    }
}

/// Returns the fault to apply to this call.
fn next_action(call: &str) -> Option<Action> {
    let path = plan_path()?;
    let mut plan = lock_plan()?;
    let action = plan.next_action(path, call);
    drop(plan);
    HOLDS_PLAN.set(false);
    action
}

impl Plan {
    /// Reads the plan if its file has changed, and returns the fault to apply to this call.
    fn next_action(&mut self, path: &[u8], call: &str) -> Option<Action> {
        let version = file_version(path);
        if self.version != version {
            let text = read_file(path).unwrap_or_default();
            self.version = version;
            self.faults = text.lines().filter_map(Fault::parse).collect();
        }
        let mut faults = self.faults.iter_mut().filter(|fault| fault.call == call);
        faults.find_map(|fault| fault.applies_to_next_call().then_some(fault.action))
    }
}

fn set_errno(errno: c_int) {
    // SAFETY: the C library returns a pointer to this thread's errno.
    unsafe { *libc::__errno_location() = errno };
}

fn sleep(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// Returns the C library's own function of that name.
fn original_function(name: &'static CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "the C library has no function {name:?}");
    found
}

/// Returns whether this is an IPv4 socket. No faults are applied to the program's internal socket
/// pairs.
fn is_inet(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are valid, and the call writes no more than `length` bytes.
    let result = unsafe {
        let (level, option) = (libc::SOL_SOCKET, libc::SO_DOMAIN);
        libc::syscall(
            libc::SYS_getsockopt,
            socket,
            level,
            option,
            &raw mut domain,
            &raw mut length,
        )
    };
    result == 0 && domain == libc::AF_INET
}

/// Defines a replacement for a C library function that fails or is delayed as the plan says.
macro_rules! intercept {
    ($name:ident, $symbol:literal, ($($argument:ident: $kind:ty),*) -> $result:ty) => {
        /// # Safety
        /// The same requirements apply as for the C library's function of that name.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            type Original = unsafe extern "C" fn($($kind),*) -> $result;
            match next_action(stringify!($name)) {
                Some(Action::Fail(errno)) => {
                    set_errno(errno);
                    return -1 as $result;
                }
                Some(Action::Delay(ms)) => sleep(ms),
                _ => {}
            }
            // SAFETY: the original function has this type, and the caller meets its requirements.
            unsafe { transmute::<*mut c_void, Original>(original_function($symbol))($($argument),*) }
        }
    };
}

intercept!(accept4, c"accept4", (socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
intercept!(bind, c"bind", (socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
intercept!(connect, c"connect", (socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
intercept!(epoll_create1, c"epoll_create1", (flags: c_int) -> c_int);
intercept!(epoll_ctl, c"epoll_ctl", (epoll: c_int, what: c_int, fd: c_int, event: *mut c_void) -> c_int);
intercept!(epoll_wait, c"epoll_wait", (epoll: c_int, events: *mut c_void, most: c_int, timeout: c_int) -> c_int);
intercept!(eventfd, c"eventfd", (count: u32, flags: c_int) -> c_int);
intercept!(fcntl, c"fcntl", (fd: c_int, command: c_int, argument: c_long) -> c_int);
intercept!(getpeername, c"getpeername", (socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int);
intercept!(ioctl, c"ioctl", (fd: c_int, request: u64, argument: *mut c_void) -> c_int);
intercept!(listen, c"listen", (socket: c_int, backlog: c_int) -> c_int);
intercept!(open64, c"open64", (path: *const c_char, flags: c_int, mode: c_long) -> c_int);
intercept!(mmap, c"mmap", (at: *mut c_void, length: size_t, protection: c_int, flags: c_int, file: c_int, offset: c_long) -> isize);
intercept!(mmap64, c"mmap64", (at: *mut c_void, length: size_t, protection: c_int, flags: c_int, file: c_int, offset: c_long) -> isize);
intercept!(read, c"read", (file: c_int, into: *mut c_void, length: size_t) -> ssize_t);
intercept!(socket, c"socket", (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
intercept!(socketpair, c"socketpair", (domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int);

/// Returns how many bytes a call on a connection may transfer. Returns `None`, with errno set, if
/// the call has to fail.
fn transfer_limit(call: &str, socket: c_int, length: size_t) -> Option<size_t> {
    if !is_inet(socket) {
        return Some(length);
    }
    match next_action(call) {
        Some(Action::Fail(errno)) => {
            set_errno(errno);
            return None;
        }
        Some(Action::LimitBytes(bytes)) => return Some(length.min(bytes)),
        Some(Action::Delay(ms)) => sleep(ms),
        _ => {}
    }
    Some(length)
}

/// # Safety
/// The same requirements apply as for the C library's function of that name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    socket: c_int,
    into: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    type Original = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let Some(length) = transfer_limit("recv", socket, length) else {
        return -1;
    };
    // SAFETY: the original function has this type, and the caller meets its requirements.
    unsafe {
        transmute::<*mut c_void, Original>(original_function(c"recv"))(socket, into, length, flags)
    }
}

/// # Safety
/// The same requirements apply as for the C library's function of that name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    socket: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    type Original = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let Some(length) = transfer_limit("send", socket, length) else {
        return -1;
    };
    // SAFETY: the original function has this type, and the caller meets its requirements.
    unsafe {
        transmute::<*mut c_void, Original>(original_function(c"send"))(socket, from, length, flags)
    }
}

/// Delays a thread that has just woken another, as can happen on a busy machine.
///
/// # Safety
/// The same requirements apply as for the C library's function of that name. The replacement takes
/// the maximum number of arguments of a system call. If a caller passes fewer, the values of the
/// missing ones are passed on and not used.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn syscall(
    number: c_long,
    a: c_long,
    b: c_long,
    c: c_long,
    d: c_long,
    e: c_long,
    f: c_long,
) -> c_long {
    type Original =
        unsafe extern "C" fn(c_long, c_long, c_long, c_long, c_long, c_long, c_long) -> c_long;
    // SAFETY: the original function reads no more than these arguments, and the caller meets its
    // requirements.
    let result = unsafe {
        transmute::<*mut c_void, Original>(original_function(c"syscall"))(number, a, b, c, d, e, f)
    };
    let operation = b as c_int & !libc::FUTEX_PRIVATE_FLAG;
    if number == libc::SYS_futex
        && operation == libc::FUTEX_WAKE
        && let Some(Action::Delay(ms)) = next_action("futex_wake")
    {
        sleep(ms);
    }
    result
}

/// # Safety
/// The same requirements apply as for the C library's function of that name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    type Original = unsafe extern "C" fn(c_int, *mut timespec) -> c_int;
    // SAFETY: the original function has this type, and the caller meets its requirements.
    let result = unsafe {
        transmute::<*mut c_void, Original>(original_function(c"clock_gettime"))(clock, time)
    };
    if clock == libc::CLOCK_REALTIME
        && result == 0
        && let Some(Action::ShiftClock(seconds)) = next_action("clock_gettime")
    {
        // SAFETY: the original function has returned 0, so it has filled in `time`.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}
