//! Tests of the error texts.

use super::*;

#[test]
fn each_error_says_why_the_call_failed() {
    let system = io::Error::from_raw_os_error(104);
    let system_text = system.to_string();
    for (error, text) in [
        (ConnectionError::Deadline, "timed out waiting for the peer"),
        (ConnectionError::Stopped, "the wait was stopped"),
        (
            ConnectionError::Closed,
            "the peer has closed the connection",
        ),
        (
            ConnectionError::LineTooLong,
            "the line is longer than its buffer",
        ),
        (ConnectionError::Malformed("no head".into()), "no head"),
        (ConnectionError::from(system), system_text.as_str()),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
