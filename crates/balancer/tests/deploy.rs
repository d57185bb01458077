//! What the platform asks of the deploy file and of the program that it starts.

use std::fs;
use std::path::Path;

const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Returns the deploy file.
fn deploy_file() -> toml::Table {
    let path = Path::new(REPOSITORY).join("deploy/balancer.toml");
    fs::read_to_string(path).unwrap().parse().unwrap()
}

/// Guards against a file that is renamed or split and no longer counted as what it is.
#[test]
fn the_deploy_file_names_paths_that_exist() {
    let file = deploy_file();
    for list in ["policy", "node"] {
        let paths = file[list].as_array().unwrap();
        assert!(!paths.is_empty(), "{list}");
        for path in paths {
            let path = path.as_str().unwrap();
            assert!(Path::new(REPOSITORY).join(path).exists(), "{list}: {path}");
        }
    }
}

/// Guards against a start that the fleet's platform refuses: a shell that stays, further processes,
/// fronts or gossip between balancers, and a program that is not linked dynamically against the C
/// library.
#[test]
fn the_balancer_starts_as_one_dynamically_linked_process() {
    let file = deploy_file();
    let run = file["run"].as_str().unwrap();
    assert_eq!(
        run.strip_prefix("exec "),
        Some("target/release/nettlemux serve"),
        "no operator's file, nothing else"
    );

    let program = fs::read(env!("CARGO_BIN_EXE_nettlemux")).unwrap();
    let number = |at: usize, bytes: usize| {
        program[at..at + bytes]
            .iter()
            .rev()
            .fold(0, |n, b| n << 8 | *b as usize)
    };
    // ELF with 64 bits: where the program headers are, how long each is and how many; the third
    // kind names the loader.
    assert_eq!(program[..5], *b"\x7fELF\x02");
    let (headers, size, count) = (number(0x20, 8), number(0x36, 2), number(0x38, 2));
    assert!(
        (0..count).any(|n| number(headers + n * size, 4) == 3),
        "no loader is named"
    );
    assert!(
        program.windows(10).any(|name| name == b"libc.so.6\0"),
        "no C library is named"
    );
}
