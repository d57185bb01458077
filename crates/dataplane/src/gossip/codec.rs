//! The format of gossip datagrams. Decoding must never depend on the sender.
//!
//! A datagram is a version byte, the group's number as two bytes with the most significant byte
//! first, and the server's name in UTF-8 up to the end.

use std::str::Utf8Error;

use thiserror::Error;

use crate::messages::GossipMessage;

/// The only supported version of the format.
const FORMAT_VERSION: u8 = 1;
/// The length of the header before the server's name: the version and the group.
const HEADER_BYTES: usize = 3;
/// The length of the longest datagram.
pub(super) const DATAGRAM_BYTES_MAX: usize = 256;
/// The length of the longest server name that fits into a datagram.
const SERVER_NAME_BYTES_MAX: usize = DATAGRAM_BYTES_MAX - HEADER_BYTES;

/// Why a message can't be encoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum EncodeError {
    /// The server's name doesn't fit into the datagram.
    #[error("server name of {bytes} bytes, expected at most {SERVER_NAME_BYTES_MAX}")]
    ServerNameTooLong {
        /// The length of the name in bytes.
        bytes: usize,
    },
}

/// Why a datagram can't be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum DecodeError {
    /// The datagram ends within the header.
    #[error("datagram of {bytes} bytes, shorter than the header of {HEADER_BYTES} bytes")]
    Truncated {
        /// The length of the datagram in bytes.
        bytes: usize,
    },
    /// The datagram is longer than the format allows. It may have been truncated on receipt.
    #[error("datagram longer than {DATAGRAM_BYTES_MAX} bytes")]
    TooLong,
    /// The version of the format is not supported.
    #[error("unsupported format version {0}, expected {FORMAT_VERSION}")]
    UnknownVersion(u8),
    /// The server's name is empty.
    #[error("empty server name")]
    NoServerName,
    /// The server's name is not UTF-8.
    #[error("server name is not UTF-8")]
    ServerNameNotUtf8(#[source] Utf8Error),
}

/// Encodes a message as a datagram.
///
/// # Errors
/// The server's name doesn't fit into the datagram.
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

/// Decodes a datagram.
///
/// # Errors
/// The datagram is truncated, too long, of another version, or has no server name in UTF-8.
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
