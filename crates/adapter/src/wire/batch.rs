//! The lines of a batch.

use nettlemux_policy::Time;
use nettlemux_settings::Settings;

use super::error::{WireError, WireProblem};
use super::event::{BalancerCreation, EventContext, SimulatorEvent};
use super::event_fields;
use super::fields::Fields;

/// The first line of a batch.
const BATCH_START: &str = "BEGIN_BATCH";
/// The last line of a batch.
pub const BATCH_END: &str = "END";
/// The event that creates a balancer.
const CREATE: &str = "CREATE";

/// Parses the first line of a batch and returns the time of the batch, in nanoseconds.
///
/// # Errors
/// Returns an error if the line is not the start of a batch.
pub fn parse_batch_start(line: &str) -> Result<Time, WireError> {
    let mut fields = Fields::new(line);
    let word = fields.word("event")?;
    if word != BATCH_START {
        let problem = WireProblem::OutsideBatch(word.to_string());
        return Err(WireError::new("event", problem));
    }
    let now = fields.time("clock")?;
    fields.end()?;
    Ok(now)
}

/// A line of a batch.
pub enum BatchLine<'a> {
    /// The end of the batch.
    End,
    /// The following events are for the balancer with this name.
    SelectBalancer(&'a str),
    /// An endpoint table follows, with one endpoint per line.
    EndpointTable {
        /// The number by which events refer to the table.
        number: u64,
        /// The number of endpoints in the table.
        count: usize,
    },
    /// An event for the selected balancer.
    Event(EventLine<'a>),
}

impl<'a> BatchLine<'a> {
    /// Parses a line of a batch. The fields of an event are parsed by [`EventLine::parse`].
    ///
    /// # Errors
    /// Returns an error if the line is malformed.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let mut fields = Fields::new(line);
        let parsed = match fields.word("event")? {
            BATCH_END => BatchLine::End,
            "ON" => BatchLine::SelectBalancer(fields.word("balancer")?),
            "TABLE" => BatchLine::EndpointTable {
                number: fields.required("table")?,
                count: fields.required("records")?,
            },
            name => return Ok(BatchLine::Event(EventLine { name, fields })),
        };
        fields.end()?;
        Ok(parsed)
    }
}

/// An event whose fields have not been parsed.
pub struct EventLine<'a> {
    name: &'a str,
    fields: Fields<'a>,
}

impl EventLine<'_> {
    /// Returns whether the event creates the selected balancer.
    pub fn creates_balancer(&self) -> bool {
        self.name == CREATE
    }

    /// Parses the event that creates a balancer.
    ///
    /// # Errors
    /// Returns an error if a field is malformed.
    pub fn parse_creation(mut self) -> Result<BalancerCreation, WireError> {
        Ok(BalancerCreation {
            seed: self.fields.required("prng")?,
            settings: Settings::parse(self.fields.text("conf")?)?,
        })
    }

    /// Parses an event other than the one that creates a balancer.
    ///
    /// # Errors
    /// Returns an error if the event is unknown, a field is malformed or an endpoint table doesn't
    /// exist.
    pub fn parse<'a>(self, context: EventContext<'a, '_>) -> Result<SimulatorEvent<'a>, WireError> {
        let EventLine { name, mut fields } = self;
        let EventContext {
            now,
            load_report_format,
            traffic_classes,
            endpoint_tables,
        } = context;
        let event = match name {
            "TEARDOWN" => SimulatorEvent::Removed,
            "VIEW" => SimulatorEvent::EndpointsUpdated(event_fields::parse_endpoint_update(
                &mut fields,
                endpoint_tables,
            )?),
            "KNOCK" => SimulatorEvent::FlowArrived(event_fields::parse_new_flow(
                now,
                &mut fields,
                traffic_classes,
            )?),
            "TAKEN_OVER" => event_fields::parse_adopted_connection(&mut fields, traffic_classes)?,
            "FLOWING" => event_fields::parse_connected(&mut fields)?,
            "SIGNAL" => event_fields::parse_signal(&mut fields)?,
            "RESULT" => event_fields::parse_attempt_end(&mut fields, &load_report_format)?,
            "LAPSED" => SimulatorEvent::ClientLeft {
                flow: fields.required("ref")?,
            },
            "REMINDER" => SimulatorEvent::TimerExpired {
                number: fields.required("ref")?,
            },
            "PONG" => event_fields::parse_health_check(&mut fields, &load_report_format)?,
            "MEMO" => event_fields::parse_gossip(&mut fields)?,
            other => {
                let problem = WireProblem::UnknownEvent(other.to_string());
                return Err(WireError::new("event", problem));
            }
        };
        fields.end()?;
        Ok(event)
    }
}
