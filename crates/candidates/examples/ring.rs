//! Measures the evenness, the cost and the memory of candidates by the length of the list.

use std::time::Instant;

use nettlemux_candidates::Candidates;

const ZONES: u64 = 31;
const COUNT: usize = 16;
const KEYS: u64 = 730_000;
const PAGE_BYTES: usize = 4_096;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

fn main() {
    println!(
        "servers  deviation/mean  most/mean  candidates() ns  candidates_in_zone() ns  bytes per server  update ns"
    );
    for servers in [600, 6_000, 12_000, 50_000] {
        let before = resident_bytes();
        let mut candidates = Candidates::default();
        (0..servers).for_each(|id| _ = candidates.insert(id, id % ZONES, 1.0));
        let bytes = resident_bytes().saturating_sub(before) as f64 / servers as f64;
        let mut frequencies = vec![0.0; servers as usize];
        let began = Instant::now();
        for key in 0..KEYS {
            for server in candidates.candidates(key, key % ZONES, COUNT) {
                frequencies[server as usize] += 1.0;
            }
        }
        let all_zones = began.elapsed().as_nanos() as f64 / KEYS as f64;
        let began = Instant::now();
        let found: usize = (0..KEYS)
            .map(|key| candidates.candidates_in_zone(key, key % ZONES, COUNT).len())
            .sum();
        let in_zone = began.elapsed().as_nanos() as f64 / KEYS as f64;
        assert!(found > 0);
        let mean = frequencies.iter().sum::<f64>() / servers as f64;
        let deviation = frequencies
            .iter()
            .map(|frequency| (frequency - mean).powi(2))
            .sum::<f64>()
            / servers as f64;
        let most = frequencies.iter().copied().fold(0.0, f64::max);
        let began = Instant::now();
        for id in 0..servers {
            candidates.remove(id);
            candidates.insert(id, id % ZONES, 1.0);
        }
        let update = began.elapsed().as_nanos() as f64 / servers as f64;
        let (deviation, most) = (deviation.sqrt() / mean, most / mean);
        println!(
            "{servers:>7}  {deviation:>14.3}  {most:>9.2}  {all_zones:>15.0}  {in_zone:>23.0}  {bytes:>16.0}  {update:>9.0}"
        );
    }
}
