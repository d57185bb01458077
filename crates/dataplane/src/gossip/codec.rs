//! The format of gossip datagrams. It must never depend on who sends them.
//!
//! A datagram is a version byte, the group's number as two bytes, the most significant first, and
//! the server's name in UTF-8 up to the end.

use std::str::Utf8Error;

use thiserror::Error;

use crate::messages::GossipMessage;

/// The only version of the format so far.
const FORMAT_VERSION: u8 = 1;
/// Bytes before the server's name: the version and the group.
const HEADER_BYTES: usize = 3;
/// Bytes of the longest datagram.
pub(super) const DATAGRAM_BYTES_MAX: usize = 256;
/// Bytes of the longest server name that fits.
const SERVER_NAME_BYTES_MAX: usize = DATAGRAM_BYTES_MAX - HEADER_BYTES;

/// Why a message can't be written.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum EncodeError {
    /// The server's name doesn't fit the datagram.
    #[error("a server name of {bytes} bytes; {SERVER_NAME_BYTES_MAX} fit")]
    ServerNameTooLong {
        /// The name's length.
        bytes: usize,
    },
}

/// Why a datagram can't be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum DecodeError {
    /// The datagram ends within the header.
    #[error("a datagram of {bytes} bytes; the header alone has {HEADER_BYTES}")]
    Truncated {
        /// The datagram's length.
        bytes: usize,
    },
    /// The datagram is longer than any of this format, or was cut as it was read.
    #[error("a datagram of more than {DATAGRAM_BYTES_MAX} bytes")]
    TooLong,
    /// The format is another version's.
    #[error("version {0}; only {FORMAT_VERSION} is known")]
    UnknownVersion(u8),
    /// No server is named.
    #[error("no server name")]
    NoServerName,
    /// The server's name is no text.
    #[error("a server name that is not UTF-8")]
    ServerNameNotUtf8(#[source] Utf8Error),
}

/// Returns the datagram for a message.
///
/// # Errors
/// The server's name doesn't fit.
pub(super) fn encode(message: &GossipMessage) -> Result<Vec<u8>, EncodeError> {
    let server_name = message.server.as_bytes();
    if server_name.len() > SERVER_NAME_BYTES_MAX {
        return Err(EncodeError::ServerNameTooLong {
            bytes: server_name.len(),
        });
    }
    let mut datagram = Vec::with_capacity(HEADER_BYTES + server_name.len());
    datagram.push(FORMAT_VERSION);
    datagram.extend_from_slice(&message.group.to_be_bytes());
    datagram.extend_from_slice(server_name);
    Ok(datagram)
}

/// Reads a datagram.
///
/// # Errors
/// The datagram is incomplete, too long, of another version, or names no server.
pub(super) fn decode(datagram: &[u8]) -> Result<GossipMessage, DecodeError> {
    if datagram.len() > DATAGRAM_BYTES_MAX {
        return Err(DecodeError::TooLong);
    }
    let (&[version, group_high, group_low], server_name) = datagram
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or(DecodeError::Truncated {
            bytes: datagram.len(),
        })?;
    if version != FORMAT_VERSION {
        return Err(DecodeError::UnknownVersion(version));
    }
    let server = std::str::from_utf8(server_name).map_err(DecodeError::ServerNameNotUtf8)?;
    if server.is_empty() {
        return Err(DecodeError::NoServerName);
    }
    Ok(GossipMessage {
        group: u16::from_be_bytes([group_high, group_low]),
        server: server.into(),
    })
}

#[cfg(test)]
mod tests;
