//! Reading of records, whole, cut off or faulty.

use super::*;

#[test]
fn a_record_is_read_up_to_where_it_was_cut() {
    let header = Observation::Header {
        version: VERSION,
        scenario: "s".into(),
        seed: 1,
        program: "p".into(),
    };
    let left = Observation::ClientLeft { at: 5, flow: 7 };
    let text: String = [&header, &left]
        .iter()
        .map(|s| serde_json::to_string(s).unwrap() + "\n")
        .collect();
    let whole = read(text.as_bytes()).unwrap();
    assert_eq!(
        whole,
        Read {
            seen: vec![header.clone(), left],
            cut: None
        }
    );
    // Cut anywhere: never a panic, never more than was there.
    for at in 0..text.len() {
        match read(&text.as_bytes()[..at]) {
            Ok(cut) => assert!(cut.seen[0] == header && cut.seen.len() <= 2, "{at}"),
            Err(why) => assert!(why.to_string().starts_with("line 1"), "{at}: {why}"),
        }
    }
    assert_eq!(
        read(&text.as_bytes()[..text.len() - 4]).unwrap().cut,
        Some(2)
    );
    assert!(
        read(text.replace(r#""version":1"#, r#""version":9"#).as_bytes())
            .unwrap_err()
            .to_string()
            .contains("version 9")
    );
    let middle = text.replacen("left", "lost", 1) + "\n";
    assert!(
        read(middle.as_bytes())
            .unwrap_err()
            .to_string()
            .starts_with("line 2")
    );
}
