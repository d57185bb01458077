//! Parsing of the operator's file.

use nettlemux_settings::operator::{Format, Level, Log, OperatorFile, parse, schema};

#[test]
fn file_is_parsed_and_error_names_the_invalid_key() {
    assert_eq!(parse("").unwrap(), OperatorFile::default());
    let read = parse("[log]\nformat = \"json\"\nlevel = \"debug\"").unwrap();
    assert_eq!(
        read.log,
        Log {
            format: Format::Json,
            level: Level::Debug
        }
    );
    for (text, key, why) in [
        ("[lgo]", "lgo", "did you mean 'log'?"),
        (
            "[log]\nfromat = \"json\"",
            "log.fromat",
            "did you mean 'format'?",
        ),
        ("\n[log]\nformat = \"jsn\"", "(line 3)", "json"),
        ("\n\n[log", "(line 3)", ""),
        ("[log]\nlevel = 3", "(line 2)", ""),
        ("log = 3", "(line 1)", ""),
        (
            "[peers]\nlisten = \"127.0.0.1:7200\"\naddreses = []",
            "peers.addreses",
            "did you mean 'addresses'?",
        ),
        ("[peers]\nlisten = \"here\"", "(line 2)", "address"),
        ("[peers]\nto = []", "(line 1)", "listen"),
        (
            "[peers]\nlisten = \"127.0.0.1:7200\"\naddresses = [\"[::1]:7200\"]",
            "peers.addresses",
            "can't be reached",
        ),
        (
            "[peers]\nlisten = \"127.0.0.1:7200\"\nto = [\"[::1]:7200\"]",
            "peers.to",
            "can't be reached",
        ),
        (
            "[admission]\nwaitng = 3",
            "admission.waitng",
            "did you mean 'waiting'?",
        ),
        (
            "[admission]\nwaiting = 0",
            "admission.waiting",
            "expected a number from 1 to",
        ),
        (
            "[admission]\nrate = -1.0",
            "admission.rate",
            "expected a finite number of at least 0",
        ),
        (
            "[admission.weights]\ngold = 0.0",
            "admission.weights.gold",
            "0.001",
        ),
        (
            "[admission]\nby = \"client\"\nweights = { gold = 2.0 }",
            "admission.weights",
            "by client",
        ),
        ("[admission]\n[door]", "(line 1)", "duplicate"),
        (
            "[door]\nwaitng = 3",
            "door.waitng",
            "did you mean 'waiting'?",
        ),
        (
            "[door]\nwaiting = 0",
            "door.waiting",
            "expected a number from 1 to",
        ),
        (
            "[door]\nrate = -1.0",
            "door.rate",
            "expected a finite number of at least 0",
        ),
        ("[door.weights]\ngold = 0.0", "door.weights.gold", "0.001"),
        (
            "[door]\nby = \"client\"\nweights = { gold = 2.0 }",
            "door.weights",
            "by client",
        ),
    ] {
        let error = parse(text).unwrap_err();
        assert_eq!(error.key, key, "{text}: {error}");
        assert!(error.problem.to_string().contains(why), "{text}: {error}");
    }
    assert!(schema()["properties"]["log"].is_object());
}

#[test]
fn deprecated_names_are_accepted_and_reported() {
    let peers = "[peers]\nlisten = \"127.0.0.1:7200\"\n";
    let old = format!("[door]\nby = \"customer\"\nopen = 7\n{peers}to = [\"127.0.0.1:7201\"]");
    let new =
        format!("[admission]\nby = \"tenant\"\nopen = 7\n{peers}addresses = [\"127.0.0.1:7201\"]");
    let (old, new) = (parse(&old).unwrap(), parse(&new).unwrap());
    let reported: Vec<(&str, &str)> = old
        .deprecated
        .iter()
        .map(|key| (key.deprecated, key.current))
        .collect();
    assert_eq!(
        reported,
        [
            ("door", "admission"),
            ("peers.to", "peers.addresses"),
            ("by = \"customer\"", "by = \"tenant\""),
        ]
    );
    assert!(new.deprecated.is_empty());
    let read = OperatorFile {
        deprecated: Vec::new(),
        ..old
    };
    assert_eq!(read, new);
}
