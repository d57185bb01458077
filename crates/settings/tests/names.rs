//! Hints for unknown names.

use nettlemux_settings::unknown_names;

#[test]
fn the_nearest_name_is_suggested() {
    let names = ["limits", "listen", "settings"];
    assert_eq!(unknown_names(["limits", "listen"], &names).next(), None);
    for (slip, near) in [
        ("limts", "limits"),
        ("lsiten", "listen"),
        ("setings", "settings"),
    ] {
        let unknown: Vec<(String, String)> = unknown_names([slip], &names)
            .map(|unknown| (unknown.name.clone(), unknown.to_string()))
            .collect();
        let hint = format!("unknown; is '{near}' meant?");
        assert_eq!(unknown, [(slip.to_string(), hint)]);
    }
    assert_eq!(
        unknown_names(["frobnicate"], &names)
            .next()
            .unwrap()
            .to_string(),
        "unknown; there are limits, listen, settings"
    );
}
