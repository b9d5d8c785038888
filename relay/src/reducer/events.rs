//! What comes to the reducer, what it asks for, and what operators ask of it and hear.
use super::{Figures, Want, Word};
use crate::lines::Open;
use hallrelay_balancer::types::{DialEnd, Micros, Report, ServerId, SessId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_disruption::Command;
use hallrelay_hot_restart::place::{self as handover, Peer};
use hallrelay_hot_restart::{Message, Session};
use hallrelay_membership::status::Status;
use hallrelay_recovery::{Kept, Stored};
use hallrelay_store::writer::Health;
use std::net::SocketAddr;

/// What an operator may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Figures,
    Fleet,
    /// What is agreed across the fleet.
    Grants,
    /// This relay, or a server for the whole fleet.
    Drain(Box<Want>),
    Activate,
    /// A command that is to be agreed as it stands: back, freed, of a release; and in words.
    Agree {
        command: Box<Command>,
        words: String,
    },
    /// How the release stands.
    Release,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Yes(Word),
    /// No, not now, with a word why.
    No(Word),
    /// What was asked for can't be, as things stand.
    Conflict(Word),
    /// Not by what is agreed across the fleet; why.
    Held(String),
    /// Agreed; what.
    Said(String),
    /// What is agreed, as JSON; none where nothing is.
    Grants(Option<String>),
    Figures(Box<Figures>),
    /// What this relay believes of its fleet; none where it is told of none.
    Fleet(Option<Box<Status>>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has connected.
    Came {
        conn: SessId,
    },
    /// A part of a first line has come.
    Stirred {
        conn: SessId,
    },
    /// A connection asks whether this relay is able to serve.
    Ping {
        conn: SessId,
    },
    /// A client's first line, and what is left of its dial timeout.
    Opened {
        sess: SessId,
        open: Open,
        left: Micros,
    },
    /// What a connection sends is not of the protocol, or it sends nothing.
    Odd {
        conn: SessId,
    },
    /// The client's connection is over.
    Gone {
        sess: SessId,
    },
    /// The client has ended its sending while it waited for its answer: it has left, or reads on.
    Departed {
        sess: SessId,
    },
    /// A dial's line is written whole.
    Written,
    Up {
        sess: SessId,
        dial: u32,
    },
    /// This machine could not begin the dial.
    NotBegun {
        sess: SessId,
        dial: u32,
    },
    DialEnded {
        sess: SessId,
        dial: u32,
        end: DialEnd,
        report: Option<Report>,
    },
    /// An open session ended at its backend's side.
    Ended {
        sess: SessId,
        end: DialEnd,
        report: Option<Report>,
    },
    Load {
        sess: SessId,
        load: f64,
    },
    /// A message of an open session took this long.
    Took {
        sess: SessId,
        time: Micros,
    },
    Probed {
        server: ServerId,
        end: DialEnd,
        report: Option<Report>,
    },
    List {
        watch: u32,
        list: List,
    },
    ListBroken {
        watch: u32,
    },
    /// The configuration as it stands now, whole and checked.
    Reload(Box<Node>),
    /// A configuration that is not used, since something in it is wrong.
    Unfit,
    /// An operator's call.
    Called {
        call: u32,
        what: Call,
    },
    /// Another process has this one's session, or could not take it.
    Passed {
        sess: SessId,
    },
    Stays {
        sess: SessId,
    },
    /// This one has a session of the process before it.
    Inherited {
        sess: SessId,
        session: Box<Session>,
    },
    /// Something came from the process before or after this one.
    Place(handover::Event),
    /// Something came from another relay.
    Fleet(hallrelay_membership::Event),
    /// What was to be written for a life of the voter is on the disk, up to a number.
    Vowed {
        life: u32,
        number: u64,
    },
    /// The store is this process's by now: what it held.
    Reopened(Box<Stored>),
    /// How the store does, as it changes.
    Store(Box<Health>),
    Alarm(Alarm),
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Alarm {
    Module(u32),
    /// The answer is due.
    Due(SessId),
    /// A standing connection is dialled again.
    Again(SessId),
    /// Sessions are moved while the relay stops or drains; of the how-manieth time that it does so.
    Emptying(u32),
    /// An offered place was not taken.
    Offered(Peer),
    /// The process that took this one's place is told what is held here still.
    Holding,
    /// Something of membership is due.
    Fleet,
    /// Of the voter, and of which round.
    Agreed(hallrelay_raft::Alarm, u32),
    /// What is seen of the fleet goes to the leader, or into the log.
    Look,
    /// A wish of an operator's call.
    Wish(u32),
    /// The list is watched anew where it comes unasked.
    AskList,
    /// Others are asked for the list, if discovery has not spoken by now.
    Recall,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Pong {
        conn: SessId,
    },
    /// A `PING` is told no.
    Deny {
        conn: SessId,
    },
    Reply {
        call: u32,
        reply: Reply,
    },
    /// Nothing new may be sent to a server from now on, or it may be again.
    Leave {
        server: ServerId,
        leaves: bool,
    },
    Dial {
        sess: SessId,
        dial: u32,
        /// None for a connection that stood at its server before this relay started.
        server: Option<ServerId>,
        addr: SocketAddr,
        wait: Micros,
        /// The time in which its line must begin to go out.
        begin: Micros,
    },
    /// From here on lines pass both ways.
    Pass {
        sess: SessId,
    },
    /// The final answers that no backend gave.
    Refuse {
        sess: SessId,
        retry_after: Micros,
    },
    TearDown {
        sess: SessId,
    },
    Move {
        sess: SessId,
    },
    /// Another process goes on with it.
    PassOn {
        sess: SessId,
        peer: Peer,
        session: Box<Session>,
    },
    /// An error for what is not of the protocol.
    Spurn {
        conn: SessId,
    },
    /// Ends a connection that is no session, for the place that it takes.
    Shed {
        conn: SessId,
    },
    /// The session's backend answers no probes: its silence tells sooner, till it answers again.
    Doubt {
        sess: SessId,
        doubted: bool,
    },
    /// Ends the connection without a word.
    Close {
        sess: SessId,
    },
    Probe {
        server: ServerId,
        addr: SocketAddr,
    },
    Forget {
        server: ServerId,
    },
    /// Watches the list from a version on, or asks for the whole of it first.
    Watch {
        watch: u32,
        addr: SocketAddr,
        since: Option<u64>,
    },
    Unwatch {
        watch: u32,
    },
    /// Connections are taken, or are left to another process.
    Accept {
        on: bool,
    },
    /// What is said to another process, and the end of it.
    Tell {
        peer: Peer,
        message: Message,
    },
    Part {
        peer: Peer,
    },
    /// Other processes may come to take this one's place, or no more.
    Door {
        open: bool,
    },
    /// A fact goes to the store; the dial of a session may go once it is written, or that takes too long.
    Keep {
        kept: Kept,
        before: Option<SessId>,
    },
    /// What a voter promises: it is told as all of it is on the disk.
    Vow {
        life: u32,
        number: u64,
        kept: Vec<Kept>,
    },
    /// The store is this process's, or another's.
    Keeping {
        on: bool,
    },
    /// What goes to other relays.
    Fleet(hallrelay_membership::Effect),
    Note {
        what: String,
    },
    /// The process ends with a complaint.
    GiveUp {
        why: String,
    },
    /// What tasks go by from now on.
    Tuned {
        limits: Box<Limits>,
        order: ReportOrder,
    },
    /// A key of a new configuration that can't change while the program runs.
    Kept {
        key: &'static str,
    },
    Alarm {
        after: Micros,
        alarm: Alarm,
    },
    Exit,
}
