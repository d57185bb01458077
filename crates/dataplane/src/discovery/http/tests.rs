//! What is read of the heads of answers.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use nettlemux_policy::SEC;

use super::*;
use crate::clock;
use crate::descriptors::DescriptorBudget;

/// Reads an answer that is written in these pieces, one after another, after which the connection ends.
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
fn bodies_in_each_form_and_in_pieces() {
    for (text, body, keep_alive) in [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlist".to_string(),
            "list",
            true,
        ),
        // More than it told is the answer to nothing.
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
            // In pieces what is more than it told may come after the answer is read: the next call looks for it.
            let surplus_later = !at_once && text.ends_with("HTTP");
            assert!(
                keep_alive || !response.keep_alive || surplus_later,
                "{text}"
            );
        }
    }
    let (closed, malformed) = (false, true);
    for (cut, kind) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nlist", closed),
        ("HTTP/1.1 200 OK\r\n", closed),
        ("HTTP/1.1 503 Busy\r\n\r\n", malformed),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            malformed,
        ),
    ] {
        let error = read(vec![cut.into()]).err();
        match kind {
            true => assert!(matches!(error, Some(HttpError::Response(_))), "{cut}"),
            false => assert!(
                matches!(error, Some(HttpError::Connection(ConnectionError::Closed))),
                "{cut}"
            ),
        }
    }
}

/// Guards against an answer without end in small chunks, which took memory until its time was up.
#[test]
fn chunks_without_end_are_not_read_to_their_end() {
    let chunk = [b"10000\r\n".as_slice(), &[b' '; 0x10000], b"\r\n"].concat();
    let mut pieces = vec![CHUNKED.as_bytes().to_vec()];
    pieces.extend(std::iter::repeat_n(chunk, RESPONSE_BYTES_MAX / 0x10000 + 8));
    pieces.push(b"0\r\n\r\n".to_vec());
    assert!(matches!(read(pieces), Err(HttpError::Response(_))));
}

#[test]
fn heads() {
    assert!(
        parse_head(b"HTTP/1.1 200 OK\r\nContent-Le")
            .unwrap()
            .is_none()
    );
    for (text, stays) in [
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
            stays,
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
