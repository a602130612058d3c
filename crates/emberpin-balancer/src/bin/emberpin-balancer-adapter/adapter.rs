//! Hosts the gateways that the simulator started, and dispatches its lines to them.

use crate::translate::{self, Translator};
use crate::wire::{
    Host, Input, InstanceId, ListId, Output, ServerListUpdate, StartGateway, UpdateForm,
};
use emberpin_balancer::host_config::UnknownZone;
use emberpin_balancer::{Event, Gateway, MembershipUpdate, Millis};
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Error in the handling of a line of input.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The input or the output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The line is not a known message, or a reply cannot be encoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A batch begins before the previous one has ended.
    #[error("'clock' within a batch")]
    NestedBatch,
    /// A message comes before a `clock` line has opened a batch.
    #[error("no 'clock' opens this batch")]
    NoBatch,
    /// The input ends before its last batch has ended.
    #[error("the input ends within a batch")]
    UnfinishedBatch,
    /// A message is for a gateway that was not started or was already stopped.
    #[error("limiter {0} was not started")]
    UnknownInstance(InstanceId),
    /// A server list update refers to a list that was not received.
    #[error("no list has number {0}")]
    UnknownList(ListId),
    /// A server list update has no list.
    #[error("missing field `buffer`")]
    MissingList,
    /// The settings or a server list name a zone that the settings do not list.
    #[error(transparent)]
    UnknownZone(#[from] UnknownZone),
    /// A request is of a class that the settings do not have.
    #[error("unknown service '{0}'")]
    UnknownClass(String),
    /// A request is of a plan that the settings do not have.
    #[error("unknown plan '{0}'")]
    UnknownPlan(String),
    /// A peer's message is not base64.
    #[error("octets: {0}")]
    Base64(#[from] base64::DecodeError),
}

/// State of the input after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch continues, or none is open.
    Continue,
    /// The batch is complete; its output has to be flushed.
    BatchComplete,
    /// There are no further lines.
    InputEnded,
}

/// One hosted gateway, and the translation of its settings' names.
struct Instance {
    gateway: Gateway,
    translator: Translator,
}

/// An open batch: all its events happen at the same time.
#[derive(Clone, Copy)]
struct Batch {
    now: Millis,
    sequence: u64,
}

/// Hosts gateways and passes the simulator's messages to them.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<InstanceId, Instance>,
    server_lists: BTreeMap<ListId, Vec<Host>>,
    batch: Option<Batch>,
    output: Vec<u8>,
}

impl Adapter {
    /// Handles one line of input; `None` is the end of the input. Blank lines are skipped.
    ///
    /// # Errors
    ///
    /// When the line is not a message, or does not fit the messages before it.
    pub fn handle_text(&mut self, text: Option<&[u8]>) -> Result<Progress, LineError> {
        let Some(text) = text else {
            return match self.batch {
                Some(_) => Err(LineError::UnfinishedBatch),
                None => Ok(Progress::InputEnded),
            };
        };
        if text.iter().all(u8::is_ascii_whitespace) {
            return Ok(Progress::Continue);
        }
        self.handle_input(serde_json::from_slice(text)?)
    }

    /// Writes and flushes the output of the batch.
    ///
    /// # Errors
    ///
    /// When the output cannot be written.
    pub fn flush_output(&mut self, output: &mut impl Write) -> Result<(), LineError> {
        output.write_all(&self.output)?;
        output.flush()?;
        self.output.clear();
        Ok(())
    }

    fn handle_input(&mut self, input: Input) -> Result<Progress, LineError> {
        if let Input::BatchStarted { now, sequence } = input {
            return match self.batch.replace(Batch { now, sequence }) {
                Some(_) => Err(LineError::NestedBatch),
                None => Ok(Progress::Continue),
            };
        }
        let Batch { now, sequence } = self.batch.ok_or(LineError::NoBatch)?;
        match input {
            Input::BatchStarted { .. } => {}
            Input::BatchEnded {} => {
                self.batch = None;
                self.write(&Output::BatchEnded { sequence })?;
                return Ok(Progress::BatchComplete);
            }
            Input::StartGateway(start) => self.start(start, now)?,
            Input::StopGateway { instance } => drop(self.instances.remove(&instance)),
            Input::ServerList { list, hosts } => drop(self.server_lists.insert(list, hosts)),
            Input::ServerListUpdate(update) => {
                let event = self.membership_event(&update)?;
                self.handle_event(update.instance, now, event)?;
            }
            Input::Request(request) => {
                let event = self
                    .instance(request.instance)?
                    .translator
                    .request(&request)?;
                self.handle_event(request.instance, now, event)?;
            }
            Input::ResponseStarted { instance, request } => {
                self.handle_event(instance, now, Event::ResponseStarted { request })?;
            }
            Input::Abandoned { instance, request } => {
                self.handle_event(instance, now, Event::Abandoned { request })?;
            }
            Input::AttemptEnded(ended) => {
                self.handle_event(ended.instance, now, translate::attempt_ended(ended))?;
            }
            Input::Timer { instance, token } => {
                self.handle_event(instance, now, Event::Timer { token })?;
            }
            Input::CounterReply(reply) => {
                self.handle_event(reply.instance, now, translate::counter_reply(&reply))?;
            }
            Input::ProbeEnded(ended) => {
                self.handle_event(ended.instance, now, translate::probe_ended(ended))?;
            }
            Input::PeerMessage(message) => {
                let event = translate::peer_message(&message)?;
                self.handle_event(message.instance, now, event)?;
            }
        }
        Ok(Progress::Continue)
    }

    fn instance(&self, id: InstanceId) -> Result<&Instance, LineError> {
        self.instances
            .get(&id)
            .ok_or(LineError::UnknownInstance(id))
    }

    fn start(&mut self, start: StartGateway, now: Millis) -> Result<(), LineError> {
        let (settings, names) = start.settings.to_settings()?;
        let create_gateway = || Gateway::new(settings, start.seed, now);
        let Ok(gateway) = catch_unwind(AssertUnwindSafe(create_gateway)) else {
            return self.write(&Output::Panicked {
                instance: start.instance,
                text: "the module panicked at its start",
            });
        };
        let translator = Translator::new(names);
        let instance = Instance {
            gateway,
            translator,
        };
        self.instances.insert(start.instance, instance);
        Ok(())
    }

    fn membership_event(&self, update: &ServerListUpdate) -> Result<Event, LineError> {
        if update.form == UpdateForm::Refused {
            return Ok(Event::Membership(MembershipUpdate::Unavailable));
        }
        let instance = self.instance(update.instance)?;
        let list = update.list.ok_or(LineError::MissingList)?;
        let hosts = self
            .server_lists
            .get(&list)
            .ok_or(LineError::UnknownList(list))?;
        Ok(instance.translator.membership(update, hosts)?)
    }

    /// Passes an event to a gateway and writes its actions. A panic of the gateway is reported to the simulator as
    /// a line of output; the adapter continues.
    fn handle_event(&mut self, id: InstanceId, now: Millis, event: Event) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(LineError::UnknownInstance(id));
        };
        let mut actions = Vec::new();
        let handle = || instance.gateway.handle(now, event, &mut actions);
        if catch_unwind(AssertUnwindSafe(handle)).is_err() {
            return self.write(&Output::Panicked {
                instance: id,
                text: "the module panicked",
            });
        }
        actions
            .iter()
            .try_for_each(|action| self.write(&translate::output(id, action)))
    }

    fn write(&mut self, line: &Output) -> Result<(), LineError> {
        serde_json::to_writer(&mut self.output, line)?;
        self.output.push(b'\n');
        Ok(())
    }
}
