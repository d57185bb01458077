//! Linux error numbers that have no [`std::io::ErrorKind`] or share one with other errors. This
//! module owns no state and must never decide how an error is handled.

/// A signal interrupted the call.
pub const EINTR: i32 = 4;
/// An I/O error occurred.
pub const EIO: i32 = 5;
/// The call would block, or a resource is temporarily unavailable.
pub const EAGAIN: i32 = 11;
/// Out of memory.
pub const ENOMEM: i32 = 12;
/// The system has no free file descriptor.
pub const ENFILE: i32 = 23;
/// The process has no free file descriptor.
pub const EMFILE: i32 = 24;
/// The address is in use.
pub const EADDRINUSE: i32 = 98;
/// The address is not an address of this machine, or no port is free.
pub const EADDRNOTAVAIL: i32 = 99;
/// The network is down.
pub const ENETDOWN: i32 = 100;
/// No buffer space is available for the socket.
pub const ENOBUFS: i32 = 105;
/// The socket is connected.
pub const EISCONN: i32 = 106;
/// The socket is already connecting, since an earlier call.
pub const EALREADY: i32 = 114;
/// The call has started to connect the socket.
pub const EINPROGRESS: i32 = 115;
