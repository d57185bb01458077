//! The platform's requirements for the deploy file and for the program that it starts.

use std::fs;
use std::path::Path;

/// The root of the repository.
const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Reads the deploy file.
fn deploy_file() -> toml::Table {
    let path = Path::new(REPOSITORY).join("deploy/balancer.toml");
    fs::read_to_string(path).unwrap().parse().unwrap()
}

/// The platform counts files by these paths. Guards against a file that is renamed or split and
/// then no longer counted under its list.
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

/// Guards against a start that the fleet's platform refuses: a shell that keeps running, additional
/// processes, front ends or gossip between balancers, or a program that is not dynamically linked
/// against the C library.
#[test]
fn the_balancer_starts_as_one_dynamically_linked_process() {
    let file = deploy_file();
    let run = file["run"].as_str().unwrap();
    assert_eq!(
        run.strip_prefix("exec "),
        Some("target/release/nettlemux serve"),
        "the program is started without an operator's file or other arguments"
    );

    let program = fs::read(env!("CARGO_BIN_EXE_nettlemux")).unwrap();
    // Reads a little-endian number.
    let number = |offset: usize, bytes: usize| {
        program[offset..offset + bytes]
            .iter()
            .rev()
            .fold(0, |n, b| n << 8 | *b as usize)
    };
    // 64-bit ELF: the offset of the program headers, the size of each and their number. A header of
    // type 3 (PT_INTERP) names the dynamic loader.
    assert_eq!(program[..5], *b"\x7fELF\x02");
    let (headers, size, count) = (number(0x20, 8), number(0x36, 2), number(0x38, 2));
    assert!(
        (0..count).any(|n| number(headers + n * size, 4) == 3),
        "the program names no dynamic loader"
    );
    assert!(
        program.windows(10).any(|name| name == b"libc.so.6\0"),
        "the program does not name libc.so.6"
    );
}
