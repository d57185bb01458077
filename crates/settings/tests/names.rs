//! Hints for unknown names.

use nettlemux_settings::unknown_names;

#[test]
fn unknown_name_is_reported_with_nearest_or_all_known_names() {
    let names = ["limits", "listen", "settings"];
    assert_eq!(unknown_names(["limits", "listen"], &names).next(), None);
    for (misspelt, nearest) in [
        ("limts", "limits"),
        ("lsiten", "listen"),
        ("setings", "settings"),
    ] {
        let unknown: Vec<(String, String)> = unknown_names([misspelt], &names)
            .map(|unknown| (unknown.name.clone(), unknown.to_string()))
            .collect();
        let hint = format!("unknown; did you mean '{nearest}'?");
        assert_eq!(unknown, [(misspelt.to_string(), hint)]);
    }
    assert_eq!(
        unknown_names(["frobnicate"], &names)
            .next()
            .unwrap()
            .to_string(),
        "unknown; expected one of limits, listen, settings"
    );
}
