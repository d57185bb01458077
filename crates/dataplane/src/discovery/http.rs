//! Answers over HTTP/1.1, as far as the agent needs them: one at a time, with a length, in chunks or up to the end of the
//! connection. It owns nothing; it must never read past an answer that it keeps the connection after, nor without a bound.

use std::sync::Arc;

use httparse::Status;
use nettlemux_policy::Time;

use crate::buffers::{Buffer, BufferPool};
use crate::connection::{Connection, ConnectionError};

/// An answer is no longer than this: guards against an endless one. 12,000 entries, indented by four, are 3.5 MB.
const RESPONSE_MAX: usize = 4 << 20;
/// Header fields that are read; more are an error.
const HEADERS_MAX: usize = 32;
/// The end of a chunk.
const CHUNK_END: usize = "\r\n".len();

/// One answer.
pub struct Response {
    pub body: Vec<u8>,
    /// Whether the connection can be used again.
    pub keep_alive: bool,
}

/// How the length of a body is told.
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// What the head of an answer tells.
struct Head {
    /// Where the body begins.
    length: usize,
    framing: Framing,
    keep_alive: bool,
}

/// Whether there is more to read.
#[derive(PartialEq)]
enum Progress {
    More,
    End,
}

/// An error that says that the answer can't be used.
pub fn invalid(why: impl Into<String>) -> ConnectionError {
    ConnectionError::Malformed(why.into())
}

/// Reads one answer.
///
/// # Errors
/// `Malformed` where it came and can't be used or isn't a 200; else what ended the connection or the wait.
pub fn read_response(
    connection: &Connection,
    buffers: &Arc<BufferPool>,
    deadline: Time,
) -> Result<Response, ConnectionError> {
    let mut reader = Reader {
        connection,
        buffer: buffers.take(),
        held: Vec::new(),
        deadline,
    };
    let head = reader.head()?;
    reader.held.drain(..head.length);
    match head.framing {
        Framing::Length(length) => reader.body_of(length, head.keep_alive),
        Framing::Chunked => reader.chunks(head.keep_alive),
        Framing::UntilClose => reader.body_until_close(),
    }
}

/// What has been read of an answer and not been used yet.
struct Reader<'a> {
    connection: &'a Connection,
    buffer: Buffer,
    held: Vec<u8>,
    deadline: Time,
}

impl Reader<'_> {
    fn head(&mut self) -> Result<Head, ConnectionError> {
        loop {
            self.read_some()?;
            if let Some(head) = parse_head(&self.held)? {
                return Ok(head);
            }
        }
    }

    fn body_of(mut self, length: usize, keep_alive: bool) -> Result<Response, ConnectionError> {
        self.hold(length)?;
        // More than it told is the answer to nothing.
        let keep_alive = keep_alive && self.held.len() == length;
        self.held.truncate(length);
        Ok(Response {
            body: self.held,
            keep_alive,
        })
    }

    fn body_until_close(mut self) -> Result<Response, ConnectionError> {
        while self.read()? == Progress::More {}
        Ok(Response {
            body: self.held,
            keep_alive: false,
        })
    }

    fn chunks(mut self, keep_alive: bool) -> Result<Response, ConnectionError> {
        let mut body = Vec::new();
        loop {
            let (start, size) = self.chunk_size()?;
            if body.len() + size > RESPONSE_MAX {
                return Err(invalid("the answer is too long"));
            }
            let end = start + size;
            self.hold(end + CHUNK_END)?;
            body.extend_from_slice(&self.held[start..end]);
            self.held.drain(..end + CHUNK_END);
            if size == 0 {
                return Ok(Response {
                    body,
                    keep_alive: keep_alive && self.held.is_empty(),
                });
            }
        }
    }

    /// Where the next chunk begins and how long it is.
    fn chunk_size(&mut self) -> Result<(usize, usize), ConnectionError> {
        loop {
            match httparse::parse_chunk_size(&self.held)
                .map_err(|_| invalid("a chunk has no size"))?
            {
                // Before it is added to: guards against a size that the sum runs over at.
                Status::Complete((_, size)) if size > RESPONSE_MAX as u64 => {
                    return Err(invalid("a chunk is too long"));
                }
                Status::Complete((start, size)) => return Ok((start, size as usize)),
                Status::Partial => self.read_some()?,
            }
        }
    }

    /// Reads until so many bytes are held.
    fn hold(&mut self, length: usize) -> Result<(), ConnectionError> {
        while self.held.len() < length {
            self.read_some()?;
        }
        Ok(())
    }

    /// Reads more; the end of the connection is an error.
    fn read_some(&mut self) -> Result<(), ConnectionError> {
        match self.read()? {
            Progress::More => Ok(()),
            Progress::End => Err(ConnectionError::Closed),
        }
    }

    fn read(&mut self) -> Result<Progress, ConnectionError> {
        let count = self.connection.read(&mut self.buffer[..], self.deadline)?;
        self.held.extend_from_slice(&self.buffer[..count]);
        if self.held.len() > RESPONSE_MAX {
            return Err(invalid("the answer is too long"));
        }
        Ok(if count > 0 {
            Progress::More
        } else {
            Progress::End
        })
    }
}

/// Reads the head, once it is complete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ConnectionError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response
        .parse(bytes)
        .map_err(|error| invalid(error.to_string()))?
    {
        Status::Complete(length) => length,
        Status::Partial => return Ok(None),
    };
    if response.code != Some(200) {
        return Err(invalid(format!("answered {}", response.code.unwrap_or(0))));
    }
    let header = |name: &str| {
        let found = response
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| {
            String::from_utf8_lossy(header.value)
                .trim()
                .to_ascii_lowercase()
        })
    };
    let framing = framing(header("transfer-encoding"), header("content-length"))?;
    let keep_alive =
        response.version == Some(1) && header("connection").as_deref() != Some("close");
    Ok(Some(Head {
        length,
        framing,
        keep_alive,
    }))
}

fn framing(
    transfer_encoding: Option<String>,
    content_length: Option<String>,
) -> Result<Framing, ConnectionError> {
    match (transfer_encoding, content_length) {
        (Some(coding), _) if coding == "chunked" => Ok(Framing::Chunked),
        (Some(coding), _) => Err(invalid(format!("unknown transfer coding '{coding}'"))),
        (None, Some(length)) => {
            let length = length.parse().ok().filter(|length| *length <= RESPONSE_MAX);
            length
                .map(Framing::Length)
                .ok_or_else(|| invalid("no sane content length"))
        }
        (None, None) => Ok(Framing::UntilClose),
    }
}

#[cfg(test)]
mod tests;
