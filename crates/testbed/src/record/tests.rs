//! Reading of complete, truncated and invalid records.

use super::*;

#[test]
fn a_truncated_record_is_read_up_to_its_last_complete_line() {
    let header = Observation::Header {
        version: RECORD_FORMAT_VERSION,
        scenario: "s".into(),
        seed: 1,
        program: "p".into(),
    };
    let client_left = Observation::ClientLeft { at: 5, flow: 7 };
    let text: String = [&header, &client_left]
        .iter()
        .map(|s| serde_json::to_string(s).unwrap() + "\n")
        .collect();
    let complete = read(text.as_bytes()).unwrap();
    assert_eq!(
        complete,
        Record {
            observations: vec![header.clone(), client_left],
            truncated_line: None
        }
    );
    // Truncated at any byte, reading must not panic or return more than the file holds.
    for at in 0..text.len() {
        match read(&text.as_bytes()[..at]) {
            Ok(truncated) => assert!(
                truncated.observations[0] == header && truncated.observations.len() <= 2,
                "{at}"
            ),
            Err(error) => assert!(error.to_string().starts_with("line 1"), "{at}: {error}"),
        }
    }
    assert_eq!(
        read(&text.as_bytes()[..text.len() - 4])
            .unwrap()
            .truncated_line,
        Some(2)
    );
    assert!(
        read(text.replace(r#""version":1"#, r#""version":9"#).as_bytes())
            .unwrap_err()
            .to_string()
            .contains("version 9")
    );
    let invalid_middle_line = text.replacen("left", "lost", 1) + "\n";
    assert!(
        read(invalid_middle_line.as_bytes())
            .unwrap_err()
            .to_string()
            .starts_with("line 2")
    );
}
