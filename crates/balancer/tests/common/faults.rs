//! Fault injection into the system calls of the program under test. The program is started with the
//! preloaded library of `tests/preload/faults.rs`. The library reads a plan of faults from a file,
//! which a test may change while the program runs.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Linux errno values.
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

/// A plan of faults, empty at first. Dropping it removes its file.
pub struct FaultPlan {
    plan_file: PathBuf,
}

impl FaultPlan {
    /// Creates an empty plan.
    pub fn empty() -> Self {
        static PLANS_CREATED: AtomicU64 = AtomicU64::new(0);
        let number = PLANS_CREATED.fetch_add(1, Ordering::Relaxed);
        let plan_file =
            std::env::temp_dir().join(format!("nettlemux-faults-{}-{number}", std::process::id()));
        std::fs::write(&plan_file, "").unwrap();
        FaultPlan { plan_file }
    }

    /// Replaces the plan and resets its counts of calls. The format of the lines is described in
    /// `tests/preload/faults.rs`.
    pub fn replace(&self, lines: &str) {
        // Written to another file and renamed, so that the library never reads a partial plan.
        let new = self.plan_file.with_extension("new");
        std::fs::write(&new, lines).unwrap();
        std::fs::rename(&new, &self.plan_file).unwrap();
    }

    /// Removes all faults from the plan.
    pub fn clear(&self) {
        self.replace("");
    }

    /// Makes a command preload the library and follow this plan.
    pub fn preload_into(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", preload_library())
            .env("NETTLEMUX_FAULTS", &self.plan_file);
    }
}

impl Drop for FaultPlan {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.plan_file);
    }
}

/// Returns the path of the preloaded library. Builds it first, since `cargo test` does not build it
/// if a single test target is selected.
fn preload_library() -> &'static PathBuf {
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
        assert!(
            library.exists(),
            "the preloaded library was not built at {library:?}"
        );
        library
    })
}
