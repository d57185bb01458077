//! nettlemux, a balancer for long-lived connections: the command line and how the parts are put together. It
//! owns the start and the end of the process and must hold no logic of its own.

mod config;
mod log;
mod re_exec;
mod signals;

use std::hash::{BuildHasher, RandomState};
use std::io::Write;
use std::panic::catch_unwind;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bpaf::{Parser, construct, long, pure};
use nettlemux_admission::AdmissionController;
use nettlemux_dataplane::discovery::{self, Agent};
use nettlemux_dataplane::dispatcher::{Dispatcher, DispatcherConfig, DispatcherError};
use nettlemux_dataplane::gossip::Peers;
use nettlemux_dataplane::health_check::{self, HealthChecker};
use nettlemux_dataplane::mailbox::Mailbox;
use nettlemux_dataplane::messages::{DispatcherMessage, Service};
use nettlemux_dataplane::pool::{Buffers, DescriptorBudgets};
use nettlemux_dataplane::shared::{Dataplane, SharedSettings};
use nettlemux_dataplane::shutdown::AnswerDeadline;
use nettlemux_dataplane::supervisor;
use nettlemux_flow_table::FlowTable;
use nettlemux_line_protocol::acceptor::{self, Acceptor};
use nettlemux_line_protocol::first_line::FirstLineSettings;
use nettlemux_policy::{EndpointState, MS, SEC, Time};
use nettlemux_settings::operator::{self, Deprecated, Format, Operator};
use signal_hook::iterator::Signals;
use tracing::{Level, error, info};

use crate::config::Config;

/// How long before an attempt timeout we answer. Answers were measured up to 1.4 ms late, and up to 5.5 ms with another
/// program busy on the same core.
const MARGIN: Time = 15 * MS;
/// Words of 8 bytes on a coroutine's stack: 64 KB, of which the system gives only the pages that are touched. Flows
/// were measured to use 521 words at most; the desk and discovery, which parses JSON, are given the same.
const STACK: usize = 0x2000;
#[derive(Clone)]
enum Command {
    Serve {
        config: Option<PathBuf>,
        operator: Option<PathBuf>,
        log: Option<Level>,
        format: Option<Format>,
    },
    Check {
        config: Option<PathBuf>,
        operator: Option<PathBuf>,
    },
    Schema,
    Version,
}

fn command() -> bpaf::OptionParser<Command> {
    fn config() -> impl Parser<Option<PathBuf>> {
        let help = "the configuration, as JSON; without it, the file that LB_CONFIG names";
        long("config")
            .help(help)
            .argument::<PathBuf>("FILE")
            .optional()
    }
    fn operator() -> impl Parser<Option<PathBuf>> {
        long("operator")
            .help("the operator's file, as TOML")
            .argument::<PathBuf>("FILE")
            .optional()
    }
    let log = long("log")
        .help("error, warn, info, debug or trace")
        .argument::<Level>("LEVEL")
        .optional();
    let format = long("log-format")
        .help("text, or json: one object a line")
        .argument::<String>("FORMAT");
    let format = format
        .parse(|word| match word.as_str() {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(format!("'{other}' is neither text nor json")),
        })
        .optional();
    let (config_, operator_) = (config(), operator());
    let serve = construct!(Command::Serve { config(config_), operator(operator_), log, format })
        .to_options();
    let serve = serve
        .descr("Run the balancer until SIGTERM")
        .command("serve");
    let (config, operator) = (config(), operator());
    let check = construct!(Command::Check { config, operator }).to_options();
    let check = check
        .descr("Check a configuration and say what is wrong with it")
        .command("check");
    let schema = pure(Command::Schema)
        .to_options()
        .descr("Print the JSON schema of the operator's file");
    let schema = schema.command("schema");
    let version = pure(Command::Version)
        .to_options()
        .descr("Print the version")
        .command("version");
    construct!([serve, check, schema, version])
        .to_options()
        .descr("A balancer for long-lived connections")
}

fn main() -> ExitCode {
    // Before all else: a SIGHUP that nobody handles ends the process.
    let signals = signals::catch();
    let done = match command().run() {
        Command::Serve {
            config: file,
            operator: operator_file,
            log,
            format,
        } => config::load_at_start(file.as_deref())
            .map_err(|e| e.to_string())
            .and_then(|config| {
                let operator = config::operator_at_start(operator_file.as_deref())?;
                let level = log.unwrap_or(level(operator.log.level));
                let _guard = log::start(level, format.unwrap_or(operator.log.format));
                config.warn_of_unknown();
                config::warn_of_deprecated(&operator);
                let signals = signals.map_err(|e| format!("can't listen for signals: {e}"))?;
                serve(config, file, operator, operator_file, signals)
            }),
        Command::Check { config, operator } => config::load(config.as_deref())
            .map_err(|e| e.to_string())
            .and_then(|config| {
                let operator = config::operator(operator.as_deref())?;
                for unknown in &config.unknown {
                    println!("{unknown}");
                }
                for Deprecated { old, new } in &operator.deprecated {
                    println!("operator's file: '{old}' is called '{new}' now");
                }
                println!(
                    "{}: listens at {}, asks {}: good",
                    config.name, config.listen, config.discovery
                );
                Ok(())
            }),
        Command::Schema => {
            // A reader that has seen enough is no fault.
            let _ = writeln!(std::io::stdout(), "{:#}", operator::schema());
            Ok(())
        }
        Command::Version => {
            println!("nettlemux {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("nettlemux: {why}");
            ExitCode::FAILURE
        }
    }
}

fn level(level: operator::Level) -> Level {
    match level {
        operator::Level::Error => Level::ERROR,
        operator::Level::Warn => Level::WARN,
        operator::Level::Info => Level::INFO,
        operator::Level::Debug => Level::DEBUG,
        operator::Level::Trace => Level::TRACE,
    }
}

fn serve(
    mut config: Config,
    file: Option<PathBuf>,
    operator: Operator,
    operator_file: Option<PathBuf>,
    signals: Signals,
) -> Result<(), String> {
    // One core is all there is: one worker, free to run where the system puts it.
    let budgets = DescriptorBudgets::new(config.sockets, config.memory);
    let runtime = may::config();
    runtime
        .set_workers(1)
        .set_stack_size(STACK)
        .set_worker_pin(false);
    // Guards against a client that is accepted and lost since its coroutine's stack can't be mapped at that moment.
    runtime.set_pool_capacity(budgets.coroutines());
    let settings = &config
        .settings
        .clone()
        .with_gossip(operator.peers.is_some());
    let faulty = |e: nettlemux_settings::Malformed| format!("settings: {e}");
    let policy = settings.policy(config.seed, MARGIN, true).map_err(faulty)?;
    let descriptors = budgets.others.clone();
    let buffers = Buffers::new();
    let messages = Mailbox::new();
    let dispatcher = messages.sender();
    let runtime_settings = SharedSettings::new(config.runtime_settings());
    let health_checker = HealthChecker::new(health_check::HealthCheckContext {
        dispatcher: dispatcher.clone(),
        descriptors: descriptors.clone(),
        buffers: buffers.clone(),
        settings: runtime_settings.clone(),
    });
    let mut known = FirstLineSettings::new(settings).map_err(faulty)?;
    let mut flow_table = FlowTable::new(policy);
    if let Some(keys) = &operator.admission {
        // New with each start: nobody can aim at another's place.
        let seed = config.seed ^ RandomState::new().hash_one(config.seed);
        let longest = settings.retry_after().map_err(faulty)?;
        let admission = AdmissionController::new(
            config::admission(keys, seed, longest.unwrap_or(SEC).max(100 * MS)),
            seed,
        );
        known.by = Some((keys.by, seed));
        flow_table = flow_table.with_admission(admission, longest.is_some());
        info!(by = ?keys.by, waiting = keys.waiting, "a door with fair queues");
    }
    let admission_seed = known.by.map(|(_, seed)| seed);
    let dataplane = Arc::new(Dataplane {
        dispatcher: dispatcher.clone(),
        buffers: buffers.clone(),
        budgets,
        ids: Arc::default(),
        settings: runtime_settings.clone(),
        numbers: AtomicU64::new(1),
    });

    let front = Acceptor::new(dataplane.clone(), known);

    let version = config.known.as_ref().map(|known| known.version);
    if let Some(known) = config.known.take() {
        let mut entries = known.entries;
        entries.retain(|entry| entry.state != EndpointState::Removed);
        dispatcher.send(DispatcherMessage::StoredEndpoints(entries));
    }
    // The first that needs the coroutines' runtime.
    let listener =
        catch_unwind(|| acceptor::listen(config.listen)).map_err(|_| re_exec::re_exec())?;
    let listener = listener.map_err(|e| format!("can't listen at {}: {e}", config.listen))?;
    let (flows, waiting) = (
        dataplane.budgets.flows.limit(),
        dataplane.budgets.waiting.limit(),
    );
    info!(name = config.name, listen = %config.listen, sockets = config.sockets, flows, waiting, "serving");
    let (zones, machines) = (settings.names("areas"), settings.names("models"));
    let answer_deadline = AnswerDeadline::new(settings.longest_wait());
    let (peers, gossip) = match operator.peers {
        Some(keys) => {
            let started = Peers::start(keys.listen, keys.addresses, dispatcher.clone());
            let (peers, gossip) =
                started.map_err(|e| format!("can't listen for words at {}: {e}", keys.listen))?;
            (Some((keys.listen, peers)), Some(gossip))
        }
        None => (None, None),
    };
    signals::untold(&config.settings, peers.is_some());
    let pending_connections = dataplane.budgets.waiting.clone();
    let running_dispatcher = Dispatcher::new(DispatcherConfig {
        flow_table,
        messages,
        zones,
        machines,
        health_checker,
        gossip,
        seed: config.seed,
        margin: MARGIN,
        answer_deadline,
        pending_connections,
    });
    let running = may::go!(move || running_dispatcher.run());
    let agent = Agent::new(config.discovery);
    let in_file = config.settings.clone();
    let seed = config.seed;
    let reload = signals::Reload {
        file,
        operator: operator_file,
        admission_seed,
        config,
        in_file,
        runtime_settings: runtime_settings.clone(),
        front: front.clone(),
        peers,
    };
    signals::listen(signals, reload, dispatcher.clone(), agent.clone())
        .map_err(|e| format!("can't listen for signals: {e}"))?;
    let context = discovery::Context {
        agent,
        settings: runtime_settings,
        seed,
        descriptors,
        buffers,
    };
    let told = dispatcher.clone();
    may::go!(
        move || supervisor::supervise(Service::Discovery, &told, || discovery::watch(
            version, &context, &told
        ))
    );
    may::go!(
        move || supervisor::supervise(Service::Listener, &dispatcher, || acceptor::accept(
            &front, &listener
        ))
    );
    let ended = running
        .join()
        .unwrap_or(Err(DispatcherError::ServiceFailed {
            service: Service::Dispatcher,
        }));
    ended.map(|()| info!("ended")).map_err(|failure| {
        let DispatcherError::ServiceFailed { service } = failure;
        error!(part = service.name(), "a part has failed for good");
        failure.to_string()
    })
}
