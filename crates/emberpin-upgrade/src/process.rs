//! One process of a limiter through its life: starting, taking over, serving; handing over, leaving, gone.
//!
//! Both processes of an upgrade run the same machine. The one that starts asks the one that serves; that gives up what
//! only one may own (the port for messages between limiters) before it answers, so that at no instant both own it.
//! Until the older one is gone they share the descriptors. Whichever dies, the other goes on alone with all.

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Nothing is open yet.
    Starting,
    /// An older process was asked for what it knows.
    Taking,
    /// Takes clients.
    Serving,
    /// Told to go; answers what it took.
    Leaving,
    /// Ended.
    Gone,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The process begins; whether somebody answers at the meeting point.
    Begin {
        /// Somebody does.
        older: bool,
    },
    /// The older one gave what it knows, whole and of this version.
    Given,
    /// What came is of no use: nothing in time, half a message, another version.
    Useless,
    /// The older one is in another upgrade.
    Refused,
    /// A younger process asks.
    Asked,
    /// The connection to the older process ended.
    OlderGone,
    /// The connection to the younger process ended.
    YoungerGone,
    /// Told to go.
    Terminate,
    /// Nothing that was taken is left to answer.
    Empty,
}

/// What is to be done, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the older process.
    Ask,
    /// Take clients, with what was given.
    ServeOn,
    /// Take clients as after a kill: knowing nothing.
    ServeAnew,
    /// Open the port for messages between limiters, as soon as it is free.
    TakePort,
    /// Close it.
    LeavePort,
    /// Give what is known to the younger process, and tell it from now on what is spent.
    Give,
    /// Tell the one that asks that this is no time.
    Refuse,
    /// Take over the meeting point, so that the next one comes here.
    Meet,
    /// Keep off the descriptors that the other one holds.
    Share,
    /// All of them are its own again.
    Whole,
    /// Take no more clients, answer those there are.
    Leave,
    /// End well.
    Exit,
    /// End at once, as one that could not start: another upgrade is under way.
    GiveUp,
}

/// One process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    stage: Stage,
    older: bool,
    younger: bool,
    port: bool,
}

impl Default for Process {
    fn default() -> Process {
        Process {
            stage: Stage::Starting,
            older: false,
            younger: false,
            port: false,
        }
    }
}

impl Process {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the port is its own (or will be once it is free).
    pub fn owns_port(&self) -> bool {
        self.port
    }

    /// Whether another process of this limiter is there, as far as this one knows.
    pub fn is_paired(&self) -> bool {
        self.older || self.younger
    }

    /// Takes one event; what is to be done is appended. Events that mean nothing where it stands are passed over.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        use Action::{
            Ask, Exit, Give, GiveUp, Leave, LeavePort, Meet, Refuse, ServeAnew, ServeOn, Share,
            TakePort, Whole,
        };
        match (self.stage, event) {
            (Stage::Starting, Event::Begin { older: true }) => {
                self.stage = Stage::Taking;
                actions.push(Ask);
            }
            (Stage::Starting, Event::Begin { older: false })
            | (Stage::Taking, Event::Useless | Event::OlderGone) => {
                self.stage = Stage::Serving;
                self.port = true;
                actions.extend([ServeAnew, TakePort, Meet]);
            }
            (Stage::Taking, Event::Given) => {
                self.stage = Stage::Serving;
                (self.older, self.port) = (true, true);
                actions.extend([Share, ServeOn, TakePort, Meet]);
            }
            (Stage::Taking, Event::Refused) => {
                self.stage = Stage::Gone;
                actions.push(GiveUp);
            }
            (Stage::Starting | Stage::Taking, Event::Terminate) => {
                self.stage = Stage::Gone;
                actions.push(Exit);
            }
            (Stage::Serving | Stage::Leaving, Event::Asked) if self.is_paired() => {
                actions.push(Refuse);
            }
            (Stage::Serving | Stage::Leaving, Event::Asked) => {
                self.younger = true;
                if std::mem::take(&mut self.port) {
                    actions.push(LeavePort);
                }
                actions.extend([Give, Share]);
            }
            // Nobody can be given anything: not before it serves, nor when it is gone.
            (_, Event::Asked) => actions.push(Refuse),
            (Stage::Serving | Stage::Leaving, Event::OlderGone) if self.older => {
                self.older = false;
                actions.push(Whole);
            }
            (Stage::Serving, Event::YoungerGone) if self.younger => {
                (self.younger, self.port) = (false, true);
                actions.extend([Whole, TakePort, Meet]);
            }
            (Stage::Leaving, Event::YoungerGone) if self.younger => {
                self.younger = false;
                actions.push(Whole);
            }
            (Stage::Serving, Event::Terminate) => {
                self.stage = Stage::Leaving;
                actions.push(Leave);
            }
            (Stage::Leaving, Event::Empty) => {
                self.stage = Stage::Gone;
                actions.push(Exit);
            }
            _ => {}
        }
    }
}
