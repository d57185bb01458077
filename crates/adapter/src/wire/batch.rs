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
/// The event by which a balancer is created.
const CREATE: &str = "CREATE";

/// Reads the first line of a batch and returns the time that it was sent at, in nanoseconds.
///
/// # Errors
/// Where the line is no start of a batch.
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
    /// The batch ends.
    End,
    /// The events that follow are for the balancer of this name.
    SelectBalancer(&'a str),
    /// An endpoint table follows, one endpoint a line.
    EndpointTable {
        /// The table's number, by which events refer to it.
        number: u64,
        /// The number of its endpoints.
        count: usize,
    },
    /// An event for the selected balancer.
    Event(EventLine<'a>),
}

impl<'a> BatchLine<'a> {
    /// Reads a line of a batch; an event is read by [`EventLine::parse`].
    ///
    /// # Errors
    /// Where the line is malformed.
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

/// An event whose fields haven't been read.
pub struct EventLine<'a> {
    name: &'a str,
    fields: Fields<'a>,
}

impl EventLine<'_> {
    /// Returns whether this event creates the balancer that it is for.
    pub fn creates_balancer(&self) -> bool {
        self.name == CREATE
    }

    /// Reads the event that creates a balancer.
    ///
    /// # Errors
    /// Where a field is malformed.
    pub fn parse_creation(mut self) -> Result<BalancerCreation, WireError> {
        Ok(BalancerCreation {
            seed: self.fields.required("prng")?,
            settings: Settings::parse(self.fields.text("conf")?)?,
        })
    }

    /// Reads any other event.
    ///
    /// # Errors
    /// Where the event is unknown, a field is malformed, or an endpoint table is missing.
    pub fn parse<'a>(self, context: EventContext<'a>) -> Result<SimulatorEvent<'a>, WireError> {
        let EventLine { name, mut fields } = self;
        let EventContext {
            now,
            load_reports,
            endpoint_tables,
        } = context;
        let event = match name {
            "TEARDOWN" => SimulatorEvent::Removed,
            "VIEW" => SimulatorEvent::EndpointsUpdated(event_fields::parse_endpoint_update(
                &mut fields,
                endpoint_tables,
            )?),
            "KNOCK" => SimulatorEvent::FlowArrived(event_fields::parse_new_flow(now, &mut fields)?),
            "TAKEN_OVER" => event_fields::parse_adopted_connection(&mut fields)?,
            "FLOWING" => event_fields::parse_connected(&mut fields)?,
            "SIGNAL" => event_fields::parse_signal(&mut fields)?,
            "RESULT" => event_fields::parse_attempt_end(&mut fields, &load_reports)?,
            "LAPSED" => SimulatorEvent::ClientLeft {
                flow: fields.required("ref")?,
            },
            "REMINDER" => SimulatorEvent::TimerExpired {
                number: fields.required("ref")?,
            },
            "PONG" => event_fields::parse_health_check(&mut fields, &load_reports)?,
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
