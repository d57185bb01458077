//! Hosts balancers on the simulator's wire: batches on standard input, replies on standard output.

mod instance;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use instance::Instance;
use nettlemux_policy::{Endpoint, Time};
use nettlemux_settings::Settings;
use wire::{Malformed, Parts, Read};

/// Lines of standard input, counted.
struct Lines<R> {
    input: R,
    line: String,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// False at the end of input.
    fn next(&mut self) -> Read<bool> {
        self.line.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.line);
        let count = read.map_err(|e| Malformed::new("line", format!("can't be read: {e}")))?;
        while self.line.ends_with(['\n', '\r']) {
            self.line.pop();
        }
        Ok(count > 0)
    }

    fn expect(&mut self, what: &str) -> Read<()> {
        if self.next()? {
            Ok(())
        } else {
            Err(Malformed::new(what, "input ends inside a batch"))
        }
    }
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    tables: BTreeMap<u64, Vec<Endpoint>>,
}

impl Host {
    /// Reads the rest of a batch and returns the reply.
    fn batch<R: BufRead>(&mut self, now: Time, lines: &mut Lines<R>) -> Read<String> {
        let mut reply = String::new();
        let mut name: Option<String> = None;
        let mut out = String::new();
        loop {
            lines.expect("END")?;
            let line = std::mem::take(&mut lines.line);
            let mut parts = Parts::new(&line);
            match parts.word("event")? {
                "END" => {
                    self.close(now, name.as_deref(), &mut out, &mut reply);
                    reply.push_str("NEXT\n");
                    parts.end()?;
                    return Ok(reply);
                }
                "ON" => {
                    self.close(now, name.as_deref(), &mut out, &mut reply);
                    name = Some(parts.word("balancer")?.to_string());
                    parts.end()?;
                }
                "TABLE" => {
                    let table = parts.get("table")?;
                    let count: usize = parts.get("records")?;
                    parts.end()?;
                    let mut entries = Vec::new();
                    for _ in 0..count {
                        lines.expect("records")?;
                        entries.push(wire::entry(&lines.line)?);
                    }
                    self.tables.insert(table, entries);
                }
                event => {
                    let name = name
                        .as_deref()
                        .ok_or_else(|| Malformed::new("balancer", "no ON before"))?;
                    self.event(now, name, event, &mut parts, &mut out)?;
                    parts.end()?;
                }
            }
            lines.line = line;
        }
    }

    fn event(
        &mut self,
        now: Time,
        name: &str,
        event: &str,
        parts: &mut Parts,
        out: &mut String,
    ) -> Read<()> {
        if event == "CREATE" {
            let seed: u64 = parts.get("prng")?;
            let settings = Settings::parse(parts.text("conf")?)?;
            self.instances
                .insert(name.to_string(), Instance::new(seed, &settings)?);
            return Ok(());
        }
        let known = self.instances.get_mut(name);
        let instance =
            known.ok_or_else(|| Malformed::new("balancer", format!("'{name}' isn't running")))?;
        match event {
            "TEARDOWN" => drop(self.instances.remove(name)),
            "VIEW" => instance.view(now, parts, &self.tables)?,
            "KNOCK" => instance.knock(now, parts, out)?,
            "TAKEN_OVER" => instance.taken_over(parts)?,
            "FLOWING" => instance.flowing(now, parts, out)?,
            "SIGNAL" => instance.signal(parts)?,
            "RESULT" => instance.result(now, parts, out)?,
            "LAPSED" => instance.lapsed(now, parts, out)?,
            "REMINDER" => instance.reminder(now, parts, out)?,
            "PONG" => instance.pong(now, parts, out)?,
            "MEMO" => instance.memo(now, parts)?,
            other => return Err(Malformed::new("event", format!("unknown event '{other}'"))),
        }
        Ok(())
    }

    /// Ends an instance's part of the reply.
    fn close(&mut self, now: Time, name: Option<&str>, out: &mut String, reply: &mut String) {
        let Some(name) = name else { return };
        if let Some(instance) = self.instances.get_mut(name) {
            instance.arm(now, out);
            if !out.is_empty() {
                reply.push_str(&format!("AS {name}\n{out}"));
            }
        }
        out.clear();
    }
}

fn serve<R: BufRead>(lines: &mut Lines<R>) -> Read<()> {
    let mut host = Host::default();
    let mut stdout = io::stdout().lock();
    while lines.next()? {
        if lines.line.is_empty() {
            continue;
        }
        let line = std::mem::take(&mut lines.line);
        let mut parts = Parts::new(&line);
        match parts.word("event")? {
            "BEGIN_BATCH" => {}
            other => {
                return Err(Malformed::new(
                    "event",
                    format!("'{other}' outside a batch"),
                ));
            }
        }
        let now = parts.time("clock")?;
        parts.end()?;
        lines.line = line;
        let reply = host.batch(now, lines)?;
        let sent = stdout
            .write_all(reply.as_bytes())
            .and_then(|()| stdout.flush());
        sent.map_err(|e| Malformed::new("reply", format!("can't be written: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut lines = Lines {
        input: io::stdin().lock(),
        line: String::new(),
        number: 0,
    };
    match serve(&mut lines) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("nettlemux-adapter: line {}: {why}", lines.number);
            ExitCode::FAILURE
        }
    }
}
