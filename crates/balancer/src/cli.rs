//! The command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, pure};
use nettlemux_settings::operator::Format;
use tracing::Level;

/// The subcommand to run.
#[derive(Clone)]
pub enum Command {
    /// Run the balancer.
    Serve {
        files: Files,
        /// The log level. `None`: taken from the operator's file.
        level: Option<Level>,
        /// The log format. `None`: taken from the operator's file.
        format: Option<Format>,
    },
    /// Check the configuration and the operator's file.
    Check { files: Files },
    /// Print the JSON schema of the operator's file.
    Schema,
    /// Print the version.
    Version,
}

/// The files given on the command line.
#[derive(Clone)]
pub struct Files {
    /// The configuration file. `None`: the file that `LB_CONFIG` names.
    pub config: Option<PathBuf>,
    /// The operator's file. `None`: the defaults apply.
    pub operator: Option<PathBuf>,
}

/// Returns the command-line parser.
pub fn command() -> OptionParser<Command> {
    let (serve, check, schema, version) = (serve(), check(), schema(), version());
    construct!([serve, check, schema, version])
        .to_options()
        .descr("A load balancer for long-lived connections")
}

fn serve() -> impl Parser<Command> {
    let (files, level, format) = (files(), level(), format());
    construct!(Command::Serve {
        files,
        level,
        format
    })
    .to_options()
    .descr("Run the balancer until SIGTERM or SIGINT")
    .command("serve")
}

fn check() -> impl Parser<Command> {
    let files = files();
    construct!(Command::Check { files })
        .to_options()
        .descr("Check the configuration and the operator's file, and report what is wrong")
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
        .help("configuration file (JSON); default: the file named by LB_CONFIG")
        .argument::<PathBuf>("FILE")
        .optional();
    let operator = long("operator")
        .help("operator's file (TOML); without it, the defaults apply")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Files { config, operator })
}

fn level() -> impl Parser<Option<Level>> {
    long("log")
        .help("log level: error, warn, info, debug or trace; overrides the operator's file")
        .argument::<Level>("LEVEL")
        .optional()
}

fn format() -> impl Parser<Option<Format>> {
    long("log-format")
        .help("log format: text, or json (one object per line); overrides the operator's file")
        .argument::<String>("FORMAT")
        .parse(|word| match word.as_str() {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(format!("expected text or json, found '{other}'")),
        })
        .optional()
}
