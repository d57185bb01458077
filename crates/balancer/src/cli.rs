//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, pure};
use nettlemux_settings::operator::Format;
use tracing::Level;

/// What the program is asked to do.
#[derive(Clone)]
pub enum Command {
    /// Run the balancer.
    Serve {
        files: Files,
        /// The log's level; else the operator's file says it.
        level: Option<Level>,
        /// The log's format; else the operator's file says it.
        format: Option<Format>,
    },
    /// Check the files.
    Check { files: Files },
    /// Print the JSON schema of the operator's file.
    Schema,
    /// Print the version.
    Version,
}

/// The files that the command line names.
#[derive(Clone)]
pub struct Files {
    /// The configuration; else `LB_CONFIG` names it.
    pub config: Option<PathBuf>,
    /// The operator's file.
    pub operator: Option<PathBuf>,
}

/// Returns the parser of the command line.
pub fn command() -> OptionParser<Command> {
    let (serve, check, schema, version) = (serve(), check(), schema(), version());
    construct!([serve, check, schema, version])
        .to_options()
        .descr("A balancer for long-lived connections")
}

fn serve() -> impl Parser<Command> {
    let (files, level, format) = (files(), level(), format());
    construct!(Command::Serve {
        files,
        level,
        format
    })
    .to_options()
    .descr("Run the balancer until SIGTERM")
    .command("serve")
}

fn check() -> impl Parser<Command> {
    let files = files();
    construct!(Command::Check { files })
        .to_options()
        .descr("Check a configuration and say what is wrong with it")
        .command("check")
}

fn schema() -> impl Parser<Command> {
    pure(Command::Schema)
        .to_options()
        .descr("Print the JSON schema of the operator's file")
        .command("schema")
}

fn version() -> impl Parser<Command> {
    pure(Command::Version)
        .to_options()
        .descr("Print the version")
        .command("version")
}

fn files() -> impl Parser<Files> {
    let config = long("config")
        .help("the configuration, as JSON; without it, the file that LB_CONFIG names")
        .argument::<PathBuf>("FILE")
        .optional();
    let operator = long("operator")
        .help("the operator's file, as TOML")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Files { config, operator })
}

fn level() -> impl Parser<Option<Level>> {
    long("log")
        .help("error, warn, info, debug or trace")
        .argument::<Level>("LEVEL")
        .optional()
}

fn format() -> impl Parser<Option<Format>> {
    long("log-format")
        .help("text, or json: one object a line")
        .argument::<String>("FORMAT")
        .parse(|word| match word.as_str() {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(format!("'{other}' is neither text nor json")),
        })
        .optional()
}
