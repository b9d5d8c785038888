//! The transitions of the cluster model and their text in a trace.
use hallrelay_disruption::Command;
use hallrelay_raft::{Message, MessageBody, Payload};
use std::fmt::{Display, Formatter};

/// A transition of the cluster model. Servers and holders are identified by their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The election timeout of a server expires.
    ElectionTimeout(usize),
    /// The heartbeat timeout of a leader expires.
    HeartbeatTimeout(usize),
    /// The oldest pending write of a server becomes durable.
    WriteDurable(usize),
    /// A process crashes and restarts from its disk.
    Crash(usize),
    /// A process crashes and restarts with an empty disk.
    DiskLoss(usize),
    /// A message and the response to it are delivered.
    Deliver(Message),
    /// A message and the response to it are delivered, and the message may be delivered again later.
    DeliverTwice(Message),
    /// A message is delayed.
    Delay(Message),
    /// A delayed message is delivered.
    DeliverDelayed(Message),
    /// A holder requests a lease.
    RequestLease {
        /// The holder.
        holder: usize,
        /// The leader that receives the request.
        leader: usize,
    },
    /// A holder that was granted a lease begins its disruption.
    BeginDisruption {
        /// The holder.
        holder: usize,
        /// The leader that is notified.
        leader: usize,
    },
    /// A holder ends its disruption.
    EndDisruption {
        /// The holder.
        holder: usize,
        /// The leader that is notified.
        leader: usize,
    },
    /// A leader proposes that a lease expires.
    ExpireLease {
        /// The holder of the lease.
        holder: usize,
        /// The leader.
        leader: usize,
    },
    /// A holder fails.
    HolderFails(usize),
    /// A holder that failed starts again and warms up.
    HolderStarts(usize),
    /// A holder has warmed up.
    HolderWarmedUp(usize),
    /// A leader proposes the health of a holder.
    ObserveHealth {
        /// The holder.
        holder: usize,
        /// The leader.
        leader: usize,
    },
    /// A server compacts its log.
    Compact(usize),
}

impl Display for Transition {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        match self {
            Transition::ElectionTimeout(server) => write!(f, "election timeout at {server}"),
            Transition::HeartbeatTimeout(server) => write!(f, "heartbeat timeout at {server}"),
            Transition::WriteDurable(server) => write!(f, "write durable at {server}"),
            Transition::Crash(server) => write!(f, "crash of {server}"),
            Transition::DiskLoss(server) => write!(f, "disk loss of {server}"),
            Transition::Deliver(message) => print_message(f, "deliver", message),
            Transition::DeliverTwice(message) => print_message(f, "deliver and duplicate", message),
            Transition::Delay(message) => print_message(f, "delay", message),
            Transition::DeliverDelayed(message) => print_message(f, "deliver delayed", message),
            Transition::RequestLease { holder, leader } => {
                write!(f, "holder {holder} requests a lease at {leader}")
            }
            Transition::BeginDisruption { holder, leader } => {
                write!(f, "holder {holder} begins its disruption at {leader}")
            }
            Transition::EndDisruption { holder, leader } => {
                write!(f, "holder {holder} ends its disruption at {leader}")
            }
            Transition::ExpireLease { holder, leader } => {
                write!(f, "the lease of holder {holder} expires at {leader}")
            }
            Transition::HolderFails(holder) => write!(f, "holder {holder} fails"),
            Transition::HolderStarts(holder) => write!(f, "holder {holder} starts"),
            Transition::HolderWarmedUp(holder) => write!(f, "holder {holder} has warmed up"),
            Transition::ObserveHealth { holder, leader } => {
                write!(f, "the health of holder {holder} is observed at {leader}")
            }
            Transition::Compact(server) => write!(f, "compaction at {server}"),
        }
    }
}

fn print_message(f: &mut Formatter, verb: &str, message: &Message) -> std::fmt::Result {
    write!(f, "{verb} {} to {}, term {}: ", message.from.id, message.to.id, message.term)?;
    let MessageBody::AppendEntries(request) = &message.body else {
        return write!(f, "{:?}", message.body);
    };
    let payloads: Vec<String> = request.entries.iter().map(|entry| payload_text(&entry.payload)).collect();
    write!(
        f,
        "append after {} of {}: [{}], committed up to {}",
        request.prev_log_index,
        request.prev_log_term,
        payloads.join(", "),
        request.leader_commit
    )
}

fn payload_text(payload: &Payload) -> String {
    match payload {
        Payload::Noop => "no-op".to_string(),
        Payload::Command(command) => format!("{:?}", Command::decode(command)),
        Payload::Configuration(voters) => {
            let ids: Vec<u32> = voters.iter().map(|voter| voter.id).collect();
            format!("voters {ids:?}")
        }
    }
}
