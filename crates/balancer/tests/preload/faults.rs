//! A library that tests load into the program by `LD_PRELOAD`: chosen system calls fail, are cut
//! short or are delayed, and the wall clock shows another time, as a plan says. The plan is a file
//! that may change at any time, named by `NETTLEMUX_FAULTS`; each line of it is a call and what
//! happens to it:
//!
//! ```text
//! CALL fail ERRNO AFTER EVERY TIMES    the call is not made and returns this error
//! CALL short BYTES AFTER EVERY TIMES   at the most so many bytes are read or written
//! CALL stall MS AFTER EVERY TIMES      the call is made so much later
//! futex_wake stall MS AFTER EVERY TIMES  a thread that has woken another goes on so much later
//! clock_gettime step SECONDS           the wall clock is so far ahead
//! ```
//!
//! After `AFTER` calls each `EVERY`th is hit, `TIMES` in all.

use std::ffi::{CStr, OsString};
use std::mem::{MaybeUninit, transmute};
use std::os::unix::ffi::OsStringExt;
use std::sync::{Mutex, OnceLock};

use libc::{c_char, c_int, c_long, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// The plan is no longer than this.
const PLAN_MAX: usize = 4096;

#[derive(Clone, Copy, PartialEq)]
enum Action {
    Fail(c_int),
    Short(usize),
    Stall(u64),
    Step(i64),
}

struct Fault {
    call: String,
    action: Action,
    after: u64,
    every: u64,
    times: u64,
    seen: u64,
    hit: u64,
}

impl Fault {
    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace();
        let (call, action) = (words.next()?.to_string(), words.next()?);
        let value = words.next()?;
        let action = match action {
            "fail" => Action::Fail(value.parse().ok()?),
            "short" => Action::Short(value.parse().ok()?),
            "stall" => Action::Stall(value.parse().ok()?),
            "step" => Action::Step(value.parse().ok()?),
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
            seen: 0,
            hit: 0,
        })
    }

    /// Whether this call is hit.
    fn hits(&mut self) -> bool {
        self.seen += 1;
        let due = self.seen > self.after && (self.seen - self.after - 1).is_multiple_of(self.every);
        let hits = due && self.hit < self.times;
        self.hit += u64::from(hits);
        hits
    }
}

/// What identifies one state of the plan's file.
type Stamp = (u64, i64, i64);

struct Plan {
    stamp: Option<Stamp>,
    faults: Vec<Fault>,
}

static PLAN: Mutex<Plan> = Mutex::new(Plan {
    stamp: None,
    faults: Vec::new(),
});

/// The plan's file, ended by a zero.
fn path() -> Option<&'static [u8]> {
    static PATH: OnceLock<Option<Vec<u8>>> = OnceLock::new();
    let read = || {
        let name: OsString = std::env::var_os("NETTLEMUX_FAULTS")?;
        Some([name.into_vec().as_slice(), b"\0"].concat())
    };
    PATH.get_or_init(read).as_deref()
}

/// Reads a file by system calls alone, since the library's own calls must not be led here.
fn read_file(path: &[u8]) -> Option<String> {
    let mut text = vec![0_u8; PLAN_MAX];
    // SAFETY: the path ends in a zero, and the buffer is as long as is said.
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

fn stamp(path: &[u8]) -> Option<Stamp> {
    let mut status = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the path ends in a zero, and the call fills in the status where it returns 0.
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

/// What happens to this call; nothing where a signal's handler has interrupted another one.
fn action(call: &str) -> Option<Action> {
    let path = path()?;
    let mut plan = PLAN.try_lock().ok()?;
    let now = stamp(path);
    if plan.stamp != now {
        let text = read_file(path).unwrap_or_default();
        (plan.stamp, plan.faults) = (now, text.lines().filter_map(Fault::parse).collect());
    }
    let mut faults = plan.faults.iter_mut().filter(|fault| fault.call == call);
    faults.find_map(|fault| fault.hits().then_some(fault.action))
}

fn set_errno(errno: c_int) {
    // SAFETY: the C library's own place for this thread.
    unsafe { *libc::__errno_location() = errno };
}

fn sleep(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// The C library's own function of that name.
fn next(name: &'static CStr) -> *mut c_void {
    // SAFETY: the name ends in a zero.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "no {name:?}");
    found
}

/// Whether it is a connection over IP: pipes of the program's own are left alone.
fn is_inet(socket: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both point to what the call fills in.
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

/// Replaces a function that fails, or is delayed, as the plan says.
macro_rules! replace {
    ($name:ident, $symbol:literal, ($($argument:ident: $kind:ty),*) -> $result:ty) => {
        /// # Safety
        /// As the C library's function of that name.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            type Real = unsafe extern "C" fn($($kind),*) -> $result;
            match action(stringify!($name)) {
                Some(Action::Fail(errno)) => {
                    set_errno(errno);
                    return -1 as $result;
                }
                Some(Action::Stall(ms)) => sleep(ms),
                _ => {}
            }
            // SAFETY: the function of that name has this type, and its caller keeps its terms.
            unsafe { transmute::<*mut c_void, Real>(next($symbol))($($argument),*) }
        }
    };
}

replace!(accept4, c"accept4", (socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
replace!(bind, c"bind", (socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
replace!(connect, c"connect", (socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
replace!(epoll_create1, c"epoll_create1", (flags: c_int) -> c_int);
replace!(epoll_ctl, c"epoll_ctl", (epoll: c_int, what: c_int, fd: c_int, event: *mut c_void) -> c_int);
replace!(epoll_wait, c"epoll_wait", (epoll: c_int, events: *mut c_void, most: c_int, timeout: c_int) -> c_int);
replace!(eventfd, c"eventfd", (count: u32, flags: c_int) -> c_int);
replace!(fcntl, c"fcntl", (fd: c_int, command: c_int, argument: c_long) -> c_int);
replace!(getpeername, c"getpeername", (socket: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int);
replace!(ioctl, c"ioctl", (fd: c_int, request: u64, argument: *mut c_void) -> c_int);
replace!(listen, c"listen", (socket: c_int, backlog: c_int) -> c_int);
replace!(open64, c"open64", (path: *const c_char, flags: c_int, mode: c_long) -> c_int);
replace!(mmap, c"mmap", (at: *mut c_void, length: size_t, protection: c_int, flags: c_int, file: c_int, offset: c_long) -> isize);
replace!(mmap64, c"mmap64", (at: *mut c_void, length: size_t, protection: c_int, flags: c_int, file: c_int, offset: c_long) -> isize);
replace!(read, c"read", (file: c_int, into: *mut c_void, length: size_t) -> ssize_t);
replace!(socket, c"socket", (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
replace!(socketpair, c"socketpair", (domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int);

/// How many bytes a call on a connection may move; none where it fails.
fn transfer(call: &str, socket: c_int, length: size_t) -> Option<size_t> {
    if !is_inet(socket) {
        return Some(length);
    }
    match action(call) {
        Some(Action::Fail(errno)) => {
            set_errno(errno);
            return None;
        }
        Some(Action::Short(bytes)) => return Some(length.min(bytes)),
        Some(Action::Stall(ms)) => sleep(ms),
        _ => {}
    }
    Some(length)
}

/// # Safety
/// As the C library's function of that name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    socket: c_int,
    into: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let Some(length) = transfer("recv", socket, length) else {
        return -1;
    };
    // SAFETY: the function of that name has this type, and its caller keeps its terms.
    unsafe { transmute::<*mut c_void, Real>(next(c"recv"))(socket, into, length, flags) }
}

/// # Safety
/// As the C library's function of that name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    socket: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    type Real = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let Some(length) = transfer("send", socket, length) else {
        return -1;
    };
    // SAFETY: the function of that name has this type, and its caller keeps its terms.
    unsafe { transmute::<*mut c_void, Real>(next(c"send"))(socket, from, length, flags) }
}

/// Holds up a thread that has just woken another, as a busy machine may.
///
/// # Safety
/// As the C library's function of that name. It takes as many arguments as any call has; what
/// stands in the place of those that a caller leaves out is passed on unread.
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
    type Real =
        unsafe extern "C" fn(c_long, c_long, c_long, c_long, c_long, c_long, c_long) -> c_long;
    // SAFETY: the function of that name reads no more than these, and its caller keeps its terms.
    let result =
        unsafe { transmute::<*mut c_void, Real>(next(c"syscall"))(number, a, b, c, d, e, f) };
    let operation = b as c_int & !libc::FUTEX_PRIVATE_FLAG;
    if number == libc::SYS_futex
        && operation == libc::FUTEX_WAKE
        && let Some(Action::Stall(ms)) = action("futex_wake")
    {
        sleep(ms);
    }
    result
}

/// # Safety
/// As the C library's function of that name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    type Real = unsafe extern "C" fn(c_int, *mut timespec) -> c_int;
    // SAFETY: the function of that name has this type, and its caller keeps its terms.
    let result = unsafe { transmute::<*mut c_void, Real>(next(c"clock_gettime"))(clock, time) };
    if clock == libc::CLOCK_REALTIME
        && result == 0
        && let Some(Action::Step(seconds)) = action("clock_gettime")
    {
        // SAFETY: the call has filled it in.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}
