//! Numbers of Linux's errors that have no [`std::io::ErrorKind`], or share one with others. It owns
//! nothing, and must never say what is done about an error.

/// A signal has interrupted the call.
pub const EINTR: i32 = 4;
/// Input or output has failed.
pub const EIO: i32 = 5;
/// The call would block, or a resource is not there at this moment.
pub const EAGAIN: i32 = 11;
/// No memory.
pub const ENOMEM: i32 = 12;
/// No descriptor left in the whole system.
pub const ENFILE: i32 = 23;
/// No descriptor left in this process.
pub const EMFILE: i32 = 24;
/// The address is in use.
pub const EADDRINUSE: i32 = 98;
/// The address is not this machine's, or no port is left.
pub const EADDRNOTAVAIL: i32 = 99;
/// The network is down.
pub const ENETDOWN: i32 = 100;
/// No room for the socket's data.
pub const ENOBUFS: i32 = 105;
/// The socket is connected.
pub const EISCONN: i32 = 106;
/// The socket connects since an earlier call.
pub const EALREADY: i32 = 114;
/// The socket connects from now on.
pub const EINPROGRESS: i32 = 115;
