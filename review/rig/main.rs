//! Plays the cases of the review: `rig CASE FOLDER TROUBLE`, from the repository's root. FOLDER gets
//! the record. TROUBLE is 1, or 0 to play the same without the disruption. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run. A file `stop` in FOLDER, or the end of the
//! shell that started it, ends the run.

mod agent;
mod balancer;
mod client;
mod crowd;
mod discovery_outage;
mod drain_after_silence;
mod drain_notice;
mod effect_change;
mod record;
mod restart_after_change;
mod server;
mod settings;
mod slow_discovery;

use std::env;
use std::os::unix::process::parent_id;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// What a run has shown.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// A run ends by itself after this time.
const LONGEST_RUN: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if let [_, command, address] = arguments.as_slice()
        && command == "idle"
    {
        return crowd::idle(address);
    }
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("rig CASE FOLDER TROUBLE");
        exit(2);
    };
    let record = Arc::new(Record::new(&Path::new(folder).join("record.txt")));
    let trouble = trouble != "0";
    end_when_stopped(Path::new(folder).join("stop"));
    let play = match case.as_str() {
        "crowd" => crowd::play,
        "restart-after-change" => restart_after_change::play,
        "drain-notice" => drain_notice::play,
        "slow-discovery" => slow_discovery::play,
        "discovery-outage" => discovery_outage::play,
        "drain-after-silence" => drain_after_silence::play,
        "effect-change" => effect_change::play,
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    let playing = record.clone();
    thread::spawn(move || {
        let folder = temporary_folder();
        let verdict = play(&playing, &folder, trouble);
        let _ = std::fs::remove_dir_all(&folder);
        let _ = sender.send(verdict);
    });
    // A panic of the case drops the sender.
    let verdict = receiver
        .recv_timeout(LONGEST_RUN)
        .unwrap_or(Verdict::CouldNotRun("the case did not end".into()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("the rule was broken".to_string(), 1),
        Verdict::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.add(&text);
    println!("{text}");
    exit(code);
}

/// Ends this program when the file appears or the shell that started it is gone. The guards then end
/// what it has started.
fn end_when_stopped(stop: PathBuf) {
    let shell = parent_id();
    thread::spawn(move || {
        while !stop.exists() && parent_id() == shell {
            thread::sleep(Duration::from_millis(50));
        }
        exit(2);
    });
}

fn temporary_folder() -> PathBuf {
    let folder = env::temp_dir().join(format!("nettlemux-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
    folder
}
