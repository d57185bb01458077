//! Responses in each framing: complete, in pieces, truncated and malformed.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use nettlemux_policy::SEC;

use super::*;
use crate::clock;
use crate::descriptors::DescriptorBudget;

/// Reads a response that the peer writes in `pieces` before it closes the connection.
fn read(pieces: Vec<Vec<u8>>) -> Result<Response, HttpError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut agent = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = listener.accept().unwrap().0;
    stream.set_nonblocking(true).unwrap();
    let writer =
        std::thread::spawn(move || pieces.iter().try_for_each(|piece| agent.write_all(piece)));
    let read = may::go!(move || {
        let connection = Connection::new(stream, DescriptorBudget::new(1).try_acquire().unwrap());
        read_response(&connection, &BufferPool::new(), clock::now() + 5 * SEC)
    });
    let read = read.join().unwrap();
    let _ = writer.join();
    read
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn body_is_read_in_each_framing_at_once_and_byte_by_byte() {
    for (text, body, keep_alive) in [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlist".to_string(),
            "list",
            true,
        ),
        // Bytes past the body belong to no request.
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlistHTTP".to_string(),
            "list",
            false,
        ),
        ("HTTP/1.1 200 OK\r\n\r\nlist".to_string(), "list", false),
        (
            format!("{CHUNKED}3\r\nlis\r\n1\r\nt\r\n0\r\n\r\n"),
            "list",
            true,
        ),
    ] {
        for pieces in [
            vec![text.clone().into_bytes()],
            text.bytes().map(|byte| vec![byte]).collect(),
        ] {
            let at_once = pieces.len() == 1;
            let response = read(pieces).unwrap();
            assert_eq!(response.body, body.as_bytes(), "{text}");
            // If the response comes in pieces, the bytes past the body may arrive after it is read.
            // The next request checks for them.
            let surplus_later = !at_once && text.ends_with("HTTP");
            assert!(
                keep_alive || !response.keep_alive || surplus_later,
                "{text}"
            );
        }
    }
}

#[test]
fn truncated_response_is_a_connection_error_and_malformed_one_a_response_error() {
    for cut in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nlist",
        "HTTP/1.1 200 OK\r\n",
    ] {
        let error = read(vec![cut.into()]).err();
        let is_closed = matches!(error, Some(HttpError::Connection(ConnectionError::Closed)));
        assert!(is_closed, "{cut}");
    }
    for malformed in [
        "HTTP/1.1 503 Busy\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
    ] {
        let error = read(vec![malformed.into()]).err();
        assert!(matches!(error, Some(HttpError::Response(_))), "{malformed}");
    }
}

/// Guards against an endless response in small chunks, which would take more and more memory until
/// the deadline of the poll.
#[test]
fn chunked_body_over_the_length_limit_is_a_response_error() {
    let chunk = [b"10000\r\n".as_slice(), &[b' '; 0x10000], b"\r\n"].concat();
    let mut pieces = vec![CHUNKED.as_bytes().to_vec()];
    pieces.extend(std::iter::repeat_n(chunk, RESPONSE_BYTES_MAX / 0x10000 + 8));
    pieces.push(b"0\r\n\r\n".to_vec());
    assert!(matches!(read(pieces), Err(HttpError::Response(_))));
}

#[test]
fn head_determines_whether_the_connection_is_kept() {
    assert!(
        parse_head(b"HTTP/1.1 200 OK\r\nContent-Le")
            .unwrap()
            .is_none()
    );
    for (text, keep_alive) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nConnection: close\r\n\r\n",
            false,
        ),
        ("HTTP/1.0 200 OK\r\n\r\n", false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            true,
        ),
    ] {
        assert_eq!(
            parse_head(text.as_bytes()).unwrap().unwrap().keep_alive,
            keep_alive,
            "{text}"
        );
    }
    for bad in [
        "HTTP/1.1 503 No\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "SSH-2.0\r\n\r\n",
    ] {
        assert!(parse_head(bad.as_bytes()).is_err(), "{bad}");
    }
}

/// Operators read these texts in the log.
#[test]
fn response_error_text_states_the_fault() {
    let head = |rest: &str| format!("HTTP/1.1 200 OK\r\n{rest}\r\n\r\n");
    for (text, why) in [
        (
            "HTTP/1.1 503 Busy\r\n\r\n".to_string(),
            "expected HTTP status 200, got 503",
        ),
        ("SSH-2.0\r\n\r\n".to_string(), "invalid HTTP version"),
        (
            head("Transfer-Encoding: gzip"),
            "unsupported transfer coding 'gzip', expected 'chunked'",
        ),
        (
            head("Content-Length: x"),
            "Content-Length is not a number of at most 4194304",
        ),
        (
            head("Content-Length: 4194305"),
            "Content-Length is not a number of at most 4194304",
        ),
    ] {
        let error = parse_head(text.as_bytes()).err().unwrap();
        assert_eq!(error.to_string(), why, "{text}");
    }
    for (chunk, why) in [
        ("x\r\n", "expected a chunk size at the start of a chunk"),
        ("400001\r\n", "chunk longer than 4194304 bytes"),
    ] {
        let error = read(vec![format!("{CHUNKED}{chunk}").into()])
            .err()
            .unwrap();
        assert_eq!(error.to_string(), why, "{chunk}");
    }
}
