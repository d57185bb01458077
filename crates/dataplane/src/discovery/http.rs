//! A minimal HTTP/1.1 client for the discovery agent: one `GET` at a time, whose response body is
//! framed by its length, by chunks or by the end of the connection. This module owns no state. It
//! must never read past the end of a response if the connection is kept, and must always bound
//! what it reads.

use std::net::SocketAddr;
use std::sync::Arc;

use httparse::Status;
use nettlemux_policy::Time;
use thiserror::Error;

use crate::buffers::{Buffer, BufferPool};
use crate::connection::{Connection, ConnectionError};

/// The longest response. Bounds the memory that an endless response takes. 12,000 entries in JSON
/// that is indented by four spaces are 3.5 MB.
const RESPONSE_BYTES_MAX: usize = 4 << 20;
/// The most header fields of a response; more are an error.
const HEADERS_MAX: usize = 32;
/// The length of the line end after a chunk's data.
const CHUNK_END_BYTES: usize = "\r\n".len();
/// The only status whose response is accepted.
const STATUS_OK: u16 = 200;

/// A response with status 200.
pub struct Response {
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
}

/// Why a request got no usable response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection ended, or the deadline passed.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// A response came but is not usable.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// Why a response is not usable.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The response head is not valid HTTP.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The status is not 200.
    #[error("expected HTTP status {STATUS_OK}, got {0}")]
    Status(u16),
    /// The transfer coding is not `chunked`.
    #[error("unsupported transfer coding '{0}', expected 'chunked'")]
    TransferCoding(String),
    /// The content length is not a number, or exceeds [`RESPONSE_BYTES_MAX`].
    #[error("Content-Length is not a number of at most {RESPONSE_BYTES_MAX}")]
    ContentLength,
    /// A chunk doesn't begin with its size.
    #[error("expected a chunk size at the start of a chunk")]
    NoChunkSize,
    /// A chunk is longer than [`RESPONSE_BYTES_MAX`].
    #[error("chunk longer than {RESPONSE_BYTES_MAX} bytes")]
    ChunkTooLong,
    /// The response is longer than [`RESPONSE_BYTES_MAX`].
    #[error("response longer than {RESPONSE_BYTES_MAX} bytes")]
    TooLong,
}

/// How the end of a body is determined.
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The parsed head of a response.
struct Head {
    /// The length of the head in bytes, which is the offset of the body.
    length: usize,
    framing: Framing,
    keep_alive: bool,
}

/// The offset of a chunk's data and the length of the data.
struct ChunkHead {
    data_start: usize,
    data_length: usize,
}

/// Whether the connection delivered bytes or has ended.
#[derive(PartialEq)]
enum Progress {
    More,
    End,
}

/// Requests a path over an idle connection and reads the response.
///
/// # Errors
/// [`HttpError::Response`] if a response came and isn't usable or isn't a 200, else
/// [`HttpError::Connection`].
pub fn get(
    connection: &Connection,
    host: SocketAddr,
    path: &str,
    buffers: &Arc<BufferPool>,
    deadline: Time,
) -> Result<Response, HttpError> {
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
    connection.write(request.as_bytes(), deadline)?;
    read_response(connection, buffers, deadline)
}

fn read_response(
    connection: &Connection,
    buffers: &Arc<BufferPool>,
    deadline: Time,
) -> Result<Response, HttpError> {
    let mut reader = ResponseReader {
        connection,
        buffer: buffers.take(),
        unread: Vec::new(),
        deadline,
    };
    let head = reader.read_head()?;
    reader.unread.drain(..head.length);
    match head.framing {
        Framing::Length(length) => reader.read_body(length, head.keep_alive),
        Framing::Chunked => reader.read_chunks(head.keep_alive),
        Framing::UntilClose => reader.read_until_close(),
    }
}

/// Reads one response from a connection.
struct ResponseReader<'a> {
    connection: &'a Connection,
    buffer: Buffer,
    /// Bytes that have been received but not yet parsed.
    unread: Vec<u8>,
    deadline: Time,
}

impl ResponseReader<'_> {
    fn read_head(&mut self) -> Result<Head, HttpError> {
        loop {
            self.receive_more()?;
            if let Some(head) = parse_head(&self.unread)? {
                return Ok(head);
            }
        }
    }

    fn read_body(mut self, length: usize, keep_alive: bool) -> Result<Response, HttpError> {
        self.receive(length)?;
        // Bytes past the body belong to no request, so the connection isn't used again.
        let keep_alive = keep_alive && self.unread.len() == length;
        self.unread.truncate(length);
        Ok(Response {
            body: self.unread,
            keep_alive,
        })
    }

    fn read_until_close(mut self) -> Result<Response, HttpError> {
        while self.try_receive()? == Progress::More {}
        Ok(Response {
            body: self.unread,
            keep_alive: false,
        })
    }

    fn read_chunks(mut self, keep_alive: bool) -> Result<Response, HttpError> {
        let mut body = Vec::new();
        loop {
            let chunk = self.read_chunk_head()?;
            if body.len() + chunk.data_length > RESPONSE_BYTES_MAX {
                return Err(ResponseError::TooLong.into());
            }
            let data_end = chunk.data_start + chunk.data_length;
            self.receive(data_end + CHUNK_END_BYTES)?;
            body.extend_from_slice(&self.unread[chunk.data_start..data_end]);
            self.unread.drain(..data_end + CHUNK_END_BYTES);
            let is_last = chunk.data_length == 0;
            if is_last {
                return Ok(Response {
                    body,
                    keep_alive: keep_alive && self.unread.is_empty(),
                });
            }
        }
    }

    fn read_chunk_head(&mut self) -> Result<ChunkHead, HttpError> {
        loop {
            let parsed =
                httparse::parse_chunk_size(&self.unread).map_err(|_| ResponseError::NoChunkSize)?;
            match parsed {
                // Checked before it is added to an offset, so that the sum can't overflow.
                Status::Complete((_, size)) if size > RESPONSE_BYTES_MAX as u64 => {
                    return Err(ResponseError::ChunkTooLong.into());
                }
                Status::Complete((data_start, size)) => {
                    return Ok(ChunkHead {
                        data_start,
                        data_length: size as usize,
                    });
                }
                Status::Partial => self.receive_more()?,
            }
        }
    }

    /// Receives until at least `length` bytes are unparsed.
    fn receive(&mut self, length: usize) -> Result<(), HttpError> {
        while self.unread.len() < length {
            self.receive_more()?;
        }
        Ok(())
    }

    /// Receives at least one byte; the end of the connection is an error.
    fn receive_more(&mut self) -> Result<(), HttpError> {
        match self.try_receive()? {
            Progress::More => Ok(()),
            Progress::End => Err(ConnectionError::Closed.into()),
        }
    }

    fn try_receive(&mut self) -> Result<Progress, HttpError> {
        let count = self.connection.read(&mut self.buffer[..], self.deadline)?;
        self.unread.extend_from_slice(&self.buffer[..count]);
        if self.unread.len() > RESPONSE_BYTES_MAX {
            return Err(ResponseError::TooLong.into());
        }
        Ok(if count > 0 {
            Progress::More
        } else {
            Progress::End
        })
    }
}

/// Parses a response head; `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let Status::Complete(length) = response.parse(bytes)? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or(0);
    if status != STATUS_OK {
        return Err(ResponseError::Status(status));
    }
    let transfer_encoding = header_value(response.headers, "transfer-encoding");
    let content_length = header_value(response.headers, "content-length");
    let framing = framing(transfer_encoding, content_length)?;
    let closes = header_value(response.headers, "connection").as_deref() == Some("close");
    let is_http_1_1 = response.version == Some(1);
    Ok(Some(Head {
        length,
        framing,
        keep_alive: is_http_1_1 && !closes,
    }))
}

/// Returns the value of the first header field of that name, trimmed and in lower case.
fn header_value(headers: &[httparse::Header], name: &str) -> Option<String> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    let value = String::from_utf8_lossy(header.value);
    Some(value.trim().to_ascii_lowercase())
}

fn framing(
    transfer_encoding: Option<String>,
    content_length: Option<String>,
) -> Result<Framing, ResponseError> {
    match (transfer_encoding, content_length) {
        (Some(coding), _) if coding == "chunked" => Ok(Framing::Chunked),
        (Some(coding), _) => Err(ResponseError::TransferCoding(coding)),
        (None, Some(length)) => parse_length(&length).map(Framing::Length),
        (None, None) => Ok(Framing::UntilClose),
    }
}

fn parse_length(text: &str) -> Result<usize, ResponseError> {
    text.parse()
        .ok()
        .filter(|length| *length <= RESPONSE_BYTES_MAX)
        .ok_or(ResponseError::ContentLength)
}

#[cfg(test)]
mod tests;
