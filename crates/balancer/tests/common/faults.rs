//! Faults of the system put into the program that a test starts: the library of
//! `tests/preload/faults.rs` and the plan that it follows, which a test may change while the
//! program runs.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Errors as Linux numbers them.
pub const EINTR: i32 = 4;
pub const EIO: i32 = 5;
pub const ENOMEM: i32 = 12;
pub const ENFILE: i32 = 23;
pub const EPROTO: i32 = 71;
pub const EADDRNOTAVAIL: i32 = 99;
pub const ENETUNREACH: i32 = 101;
pub const ECONNABORTED: i32 = 103;
pub const ENOBUFS: i32 = 105;
pub const ETIMEDOUT: i32 = 110;
pub const EHOSTUNREACH: i32 = 113;

/// A plan of faults, without any at first; its file is removed when it is dropped.
pub struct Faults {
    plan: PathBuf,
}

impl Faults {
    pub fn none() -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let plan =
            std::env::temp_dir().join(format!("nettlemux-faults-{}-{number}", std::process::id()));
        std::fs::write(&plan, "").unwrap();
        Faults { plan }
    }

    /// From now on these happen, counted anew; the lines are those of the library's page.
    pub fn set(&self, lines: &str) {
        // Put in its place whole, so that no half of it is read.
        let new = self.plan.with_extension("new");
        std::fs::write(&new, lines).unwrap();
        std::fs::rename(&new, &self.plan).unwrap();
    }

    pub fn clear(&self) {
        self.set("");
    }

    pub fn load_into(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library())
            .env("NETTLEMUX_FAULTS", &self.plan);
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.plan);
    }
}

/// The library, built where it isn't yet: `cargo test` builds it only where no single test is
/// named.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let mut build = Command::new(env!("CARGO"));
        build.args([
            "build",
            "--quiet",
            "--locked",
            "--package",
            "nettlemux",
            "--example",
            "faults",
        ]);
        assert!(
            build
                .current_dir(env!("CARGO_MANIFEST_DIR"))
                .status()
                .unwrap()
                .success()
        );
        let test = std::env::current_exe().unwrap();
        let target = test.parent().and_then(|deps| deps.parent()).unwrap();
        let library = target.join("examples/libfaults.so");
        assert!(library.exists(), "no {library:?}");
        library
    })
}
