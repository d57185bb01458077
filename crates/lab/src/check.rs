//! The check of the judge itself: sound balancers must pass, and each that breaks a rule on purpose must be caught at that rule.
//! It owns the scenario on which all of them have the occasion, and must never count a break of another rule as a catch.

use std::fmt::Write;
use std::path::Path;

use crate::brains::Kind;
use crate::file;
use crate::mischief::Mischief;
use crate::simulate::{Who, simulate};

const SCENARIO: &str = include_str!("../../../lab/scenarios/self-check.toml");

/// What to print, and whether the judge is to be trusted.
///
/// # Errors
/// The scenario is faulty.
pub fn self_check() -> Result<(String, bool), String> {
    let table: toml::Table = SCENARIO.parse().map_err(|e: toml::de::Error| e.to_string())?;
    let scenario =
        file::read(&table, Path::new("lab/scenarios/self-check.toml")).map_err(|e| e.to_string())?;
    let (mut out, mut missed) = (String::new(), 0);
    let mut say = |name: &str, good: bool, what: String| {
        missed += usize::from(!good);
        let word = if good { "ok  " } else { "FAIL" };
        writeln!(out, "{word} {name:<28} {what}").expect("a string takes all");
    };
    let run = |who| simulate(&scenario, scenario.seed, who, None).map_err(|e| e.to_string());
    let sound = run(Who::Brain(Kind::Module))?.verdict;
    say("sound", sound.kept(), format!("rules kept over {} flows: {:?}", sound.flows, sound.broken));
    for mischief in Mischief::ALL {
        let verdict = run(Who::Mischief(mischief))?.verdict;
        let count = verdict.broken.get(&mischief.breaks()).copied().unwrap_or(0);
        say(mischief.name(), count > 0, format!("{:?} seen {count} times", mischief.breaks()));
    }
    let all = Mischief::ALL.len() + 1;
    writeln!(out, "{} passed, {missed} failed", all - missed).expect("a string takes all");
    Ok((out, missed == 0))
}
