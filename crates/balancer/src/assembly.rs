//! Builds the components of the balancer, starts them and waits for them to end.
//!
//! The order matters. The coroutine runtime is configured before anything uses it. The stored
//! endpoints are sent before the first client can connect. Signals are handled only after
//! everything that they act on exists.

use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};
use std::net::TcpListener;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use may::coroutine::JoinHandle;
use may::io::CoIo;
use nettlemux_admission::AdmissionController;
use nettlemux_dataplane::buffers::BufferPool;
use nettlemux_dataplane::client_ids::ClientIds;
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::descriptors::{DescriptorBudgets, client_ids_bytes};
use nettlemux_dataplane::discovery::{self, Agent, DiscoveryContext};
use nettlemux_dataplane::dispatcher::{Dispatcher, DispatcherConfig, DispatcherError};
use nettlemux_dataplane::gossip::GossipTransport;
use nettlemux_dataplane::health_check::{self, HealthChecker};
use nettlemux_dataplane::mailbox::{Mailbox, Sender};
use nettlemux_dataplane::messages::{DispatcherMessage, GossipMessage, Service};
use nettlemux_dataplane::runtime_settings::SharedSettings;
use nettlemux_dataplane::shutdown::AnswerDeadline;
use nettlemux_dataplane::supervisor;
use nettlemux_dataplane::timer;
use nettlemux_flow_table::{FlowTable, RetryAfterHint};
use nettlemux_line_protocol::acceptor::{self, Acceptor};
use nettlemux_line_protocol::settings::{ClientKeys, FirstLineSettings};
use nettlemux_policy::{EndpointState, MS, SEC, Time};
use nettlemux_settings::operator::{self, OperatorFile};
use nettlemux_settings::{DrainMigration, Settings};
use signal_hook::iterator::Signals;
use tracing::{error, info};

use crate::cli::Files;
use crate::config::Config;
use crate::operator_file;
use crate::re_exec::re_exec;
use crate::reload::{self, GossipPeering, Reloader};
use crate::signals;
use crate::start_error::StartError;

/// How long before an attempt's timeout the client is answered. The margin is needed because
/// answers go out some milliseconds late if another program is busy on the same core.
const ANSWER_MARGIN: Time = 15 * MS;
/// The size of a coroutine's stack in words of 8 bytes, which is 64 KB. The system allocates only
/// the pages that are touched. Discovery needs the largest stack, since it parses JSON.
const COROUTINE_STACK_WORDS: usize = 0x2000;
/// The longest Retry-After of admission control if the settings do not allow Retry-After.
const RETRY_AFTER_MAX_DEFAULT: Time = SEC;
/// The lower bound of the longest Retry-After of admission control.
const RETRY_AFTER_MAX_MIN: Time = 100 * MS;

/// The inputs from which the balancer is built.
pub struct Inputs {
    pub config: Config,
    pub operator: OperatorFile,
    /// The files that are reloaded on SIGHUP.
    pub files: Files,
    pub signals: Signals,
}

/// Builds the balancer and runs it until it is told to terminate.
///
/// # Errors
/// If the balancer can't start, or a service that it needs has failed permanently.
pub fn serve(inputs: Inputs) -> Result<(), StartError> {
    let mut config = inputs.config;
    let operator = inputs.operator;
    let budgets = DescriptorBudgets::new(config.descriptors_max, config.memory_bytes_max);
    configure_runtime(&budgets);
    let settings = &match operator.peers {
        Some(_) => config.settings.clone(),
        None => config.settings.clone().without_gossip(),
    };
    let decisions = DecisionParts::new(&config, settings, operator.admission.as_ref())?;
    let messages = Mailbox::new();
    let shared = SharedParts::new(&config, budgets, messages.sender());
    let acceptor = Acceptor::new(shared.dataplane.clone(), decisions.first_line_settings);

    let known_version = send_known_endpoints(&mut config, &shared.dispatcher);
    let listener = open_listener(&config, &shared.dataplane)?;
    let gossip = Gossip::start(operator.peers, &shared.dispatcher)?;
    reload::warn_of_missing_peers(&config.settings, gossip.peering.as_ref());

    let dispatcher = Dispatcher::new(DispatcherConfig {
        flow_table: decisions.flow_table,
        messages,
        zones: settings.zone_names(),
        machines: settings.machine_model_names(),
        health_checker: shared.health_checker(),
        gossip: gossip.sender,
        seed: config.seed,
        deadline_margin: ANSWER_MARGIN,
        answer_deadline: AnswerDeadline::new(settings.flow_timeout_max()),
        pending_connections: shared.dataplane.descriptor_budgets.pending.clone(),
    });
    let dispatcher_handle = may::go!(move || dispatcher.run());
    let agent = Agent::new(config.discovery);
    let discovery = shared.discovery_context(agent.clone(), config.seed);
    let reloader = Reloader {
        files: inputs.files,
        settings_in_file: config.settings.clone(),
        config,
        admission_seed: decisions.admission_seed,
        runtime_settings: shared.runtime_settings,
        acceptor: acceptor.clone(),
        gossip_peering: gossip.peering,
        agent,
        dispatcher: shared.dispatcher.clone(),
    };
    signals::spawn_handler_thread(inputs.signals, reloader, shared.dispatcher.clone())
        .map_err(StartError::Signals)?;
    start_discovery(discovery, known_version, shared.dispatcher.clone());
    start_listener(acceptor, listener, shared.dispatcher);
    wait_for_end(dispatcher_handle)
}

/// Waits for the dispatcher to end.
fn wait_for_end(
    dispatcher_handle: JoinHandle<Result<(), DispatcherError>>,
) -> Result<(), StartError> {
    let panicked = DispatcherError::ServiceFailed {
        service: Service::Dispatcher,
    };
    let ended = dispatcher_handle.join().unwrap_or(Err(panicked));
    ended.map(|()| info!("ended")).map_err(|failure| {
        let DispatcherError::ServiceFailed { service } = failure;
        error!(service = service.name(), "a service has failed permanently");
        StartError::ServiceFailed(failure)
    })
}

/// Configures the coroutine runtime. Must be called before anything starts the runtime.
fn configure_runtime(budgets: &DescriptorBudgets) {
    let runtime = may::config();
    // The process gets one core, so one worker is enough. It is not pinned: the system decides on
    // which core it runs.
    runtime
        .set_workers(1)
        .set_stack_size(COROUTINE_STACK_WORDS)
        .set_worker_pin(false);
    // Stacks are pooled: if an accepted client needed a new stack and it could not be mapped at
    // that moment, the client would be lost.
    runtime.set_pool_capacity(budgets.coroutines_max());
}

/// The decision-making components: the flow table, which contains the policy and admission control,
/// and the settings by which first lines are parsed for them.
struct DecisionParts {
    flow_table: FlowTable,
    first_line_settings: FirstLineSettings,
    /// The seed of admission control's hash keys. `None` if admission control is off.
    admission_seed: Option<u64>,
}

impl DecisionParts {
    fn new(
        config: &Config,
        settings: &Settings,
        admission: Option<&operator::AdmissionSettings>,
    ) -> Result<Self, StartError> {
        let policy = settings.policy(config.seed, ANSWER_MARGIN, DrainMigration::Enabled)?;
        let mut decisions = DecisionParts {
            first_line_settings: FirstLineSettings::from_platform(settings)?,
            flow_table: FlowTable::new(policy),
            admission_seed: None,
        };
        if let Some(admission) = admission {
            decisions = decisions.with_admission(config, settings, admission)?;
        }
        Ok(decisions)
    }

    fn with_admission(
        self,
        config: &Config,
        settings: &Settings,
        admission: &operator::AdmissionSettings,
    ) -> Result<Self, StartError> {
        // Differs with each start, so that a client can't provoke a hash collision with another
        // client's entry in the tables.
        let seed = config.seed ^ RandomState::new().hash_one(config.seed);
        let retry_after_max = settings.max_retry_after()?;
        let controller = AdmissionController::new(
            operator_file::admission_config(
                admission,
                seed,
                retry_after_max
                    .unwrap_or(RETRY_AFTER_MAX_DEFAULT)
                    .max(RETRY_AFTER_MAX_MIN),
            ),
            seed,
        );
        let hint = match retry_after_max {
            Some(_) => RetryAfterHint::Sent,
            None => RetryAfterHint::Withheld,
        };
        info!(by = ?admission.by, waiting = admission.waiting, "admission control enabled");
        Ok(DecisionParts {
            flow_table: self.flow_table.with_admission(controller, hint),
            first_line_settings: self.first_line_settings.with_client_keys(Some(ClientKeys {
                by: admission.by,
                seed,
            })),
            admission_seed: Some(seed),
        })
    }
}

/// Components that the coroutines share.
struct SharedParts {
    /// Sends messages to the dispatcher.
    dispatcher: Sender<DispatcherMessage>,
    runtime_settings: Arc<SharedSettings>,
    dataplane: Arc<Dataplane>,
}

impl SharedParts {
    fn new(
        config: &Config,
        budgets: DescriptorBudgets,
        dispatcher: Sender<DispatcherMessage>,
    ) -> Self {
        let runtime_settings = SharedSettings::new(config.runtime_settings());
        let dataplane = Arc::new(Dataplane {
            dispatcher: dispatcher.clone(),
            buffers: BufferPool::new(),
            descriptor_budgets: budgets,
            client_ids: ClientIds::new(client_ids_bytes(config.memory_bytes_max)),
            settings: runtime_settings.clone(),
            next_flow: AtomicU64::new(1),
        });
        SharedParts {
            dispatcher,
            runtime_settings,
            dataplane,
        }
    }

    fn health_checker(&self) -> HealthChecker {
        HealthChecker::new(health_check::HealthCheckContext {
            dispatcher: self.dispatcher.clone(),
            descriptors: self.dataplane.descriptor_budgets.control.clone(),
            buffers: self.dataplane.buffers.clone(),
            settings: self.runtime_settings.clone(),
        })
    }

    fn discovery_context(&self, agent: Arc<Agent>, seed: u64) -> DiscoveryContext {
        DiscoveryContext {
            agent,
            settings: self.runtime_settings.clone(),
            seed,
            descriptors: self.dataplane.descriptor_budgets.control.clone(),
            buffers: self.dataplane.buffers.clone(),
        }
    }
}

/// Sends the last known endpoint list, without removed servers, to the dispatcher. Returns the
/// version of the list.
fn send_known_endpoints(
    config: &mut Config,
    dispatcher: &Sender<DispatcherMessage>,
) -> Option<u64> {
    let known = config.known_endpoints.take()?;
    let mut entries = known.entries;
    entries.retain(|entry| entry.state != EndpointState::Removed);
    dispatcher.send(DispatcherMessage::StoredEndpoints(entries));
    Some(known.version)
}

/// Opens the listener. This is the first use of the coroutine runtime; if the runtime can't start,
/// the process re-executes itself.
fn open_listener(config: &Config, dataplane: &Dataplane) -> Result<CoIo<TcpListener>, StartError> {
    let address = config.listen;
    let opened = match catch_unwind(|| {
        timer::start();
        acceptor::listen(address)
    }) {
        Ok(opened) => opened,
        Err(_) => match re_exec()? {},
    };
    let listener = opened.map_err(|source| StartError::Listener { address, source })?;
    let flows = dataplane.descriptor_budgets.flows.limit();
    let waiting = dataplane.descriptor_budgets.pending.limit();
    info!(name = config.name, listen = %address, sockets = config.descriptors_max, flows, waiting, "serving");
    Ok(listener)
}

/// Gossip with the other balancers. Both fields are `None` if no peers are configured.
struct Gossip {
    peering: Option<GossipPeering>,
    sender: Option<Sender<GossipMessage>>,
}

impl Gossip {
    fn start(
        peers: Option<operator::Peers>,
        dispatcher: &Sender<DispatcherMessage>,
    ) -> Result<Self, StartError> {
        let Some(peers) = peers else {
            return Ok(Gossip {
                peering: None,
                sender: None,
            });
        };
        let address = peers.listen;
        let (transport, sender) =
            GossipTransport::start(address, peers.addresses, dispatcher.clone())
                .map_err(|source| StartError::Gossip { address, source })?;
        Ok(Gossip {
            peering: Some(GossipPeering {
                listen: address,
                transport,
            }),
            sender: Some(sender),
        })
    }
}

fn start_discovery(
    context: DiscoveryContext,
    known_version: Option<u64>,
    dispatcher: Sender<DispatcherMessage>,
) {
    // A watch that is started again asks for the complete list: what the one before it has learned of
    // the agent is lost, and the agent may have restarted its version numbers since the start.
    let known_version = Cell::new(known_version);
    may::go!(
        move || supervisor::supervise(Service::Discovery, &dispatcher, || discovery::watch(
            known_version.take(),
            &context,
            &dispatcher
        ))
    );
}

fn start_listener(
    acceptor: Arc<Acceptor>,
    listener: CoIo<TcpListener>,
    dispatcher: Sender<DispatcherMessage>,
) {
    may::go!(
        move || supervisor::supervise(Service::Listener, &dispatcher, || acceptor::accept(
            &acceptor, &listener
        ))
    );
}
