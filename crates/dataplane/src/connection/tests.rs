//! What errors say in the log.

use super::*;

#[test]
fn each_error_says_what_has_ended_the_call() {
    let system = io::Error::from_raw_os_error(104);
    let system_text = system.to_string();
    for (error, text) in [
        (ConnectionError::Deadline, "nothing came in time"),
        (ConnectionError::Stopped, "told to stop waiting"),
        (ConnectionError::Closed, "the peer has ended the connection"),
        (ConnectionError::LineTooLong, "an overlong line"),
        (ConnectionError::Malformed("no head".into()), "no head"),
        (ConnectionError::from(system), system_text.as_str()),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
