//! Messages between balancers: UDP datagrams, and TCP transfers of records that do not fit into one.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_steer::message;
use quick_error::quick_error;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Semaphore, //
};

use super::{
    Node,
    v4, //
};
use crate::event;

/// First byte of each message, which identifies its format; changes whenever the messages change.
const FORMAT_TAG: u8 = 0x55;

/// Largest datagram between balancers; most are far smaller.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// Largest response to a pull.
const MAX_PULL_RESPONSE_BYTES: usize = 8 << 20;

/// Largest pull request.
const MAX_PULL_REQUEST_BYTES: usize = 64;

/// Time limit for a complete pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pulls served at a time; further ones wait in the listener's backlog.
const MAX_CONCURRENT_PULLS: usize = 8;

/// Delay before reading again after a socket error.
const ERROR_WAIT: Duration = Duration::from_millis(10);

static MESSAGE_REFUSED: event::Limiter = event::Limiter::new();
static MESSAGE_UNSENT: event::Limiter = event::Limiter::new();
static PULL_FAILED: event::Limiter = event::Limiter::new();

quick_error! {
    /// Reasons for a failed pull or an undecodable message.
    #[derive(Debug)]
    enum PullError {
        Io(error: io::Error) {
            from()
            source(error)
            display("{}; check the path to the peer", error)
        }
        Format(error: postcard::Error) {
            from()
            source(error)
            display("cannot decode the message: {}; run the same version on all balancers", error)
        }
        TooLong {
            display("the message is longer than allowed; run the same version on all balancers")
        }
        Busy {
            display("the rate limit for pull responses is exhausted; the peer pulls from another balancer")
        }
        UnknownFormat {
            display("the message has another format; run the same version on all balancers")
        }
    }
}

impl Node {
    pub(super) fn send(&self, to: &[SocketAddrV4], message: &message::Message) {
        match postcard::to_extend(message, vec![FORMAT_TAG]) {
            Ok(datagram) => to
                .iter()
                .for_each(|peer| self.send_datagram(*peer, &datagram)),
            Err(error) => to
                .iter()
                .for_each(|peer| self.log_unsent_message(*peer, &error)),
        }
    }

    fn send_datagram(&self, to: SocketAddrV4, datagram: &[u8]) {
        metrics::counter!("mulberrynotch_peer_sent_bytes_total")
            .increment(u64::try_from(datagram.len()).unwrap_or(u64::MAX));
        if let Err(error) = self.peer_socket.try_send_to(datagram, SocketAddr::V4(to)) {
            self.log_unsent_message(to, &error);
        }
    }

    fn log_unsent_message(&self, to: SocketAddrV4, error: &dyn std::fmt::Display) {
        let fields: [event::Field<'_>; 2] = [("to", &to), ("error", error)];
        MESSAGE_UNSENT.warn(self.now(), "message_unsent", &fields);
    }

    /// Receives peer messages for the lifetime of the process.
    pub(super) async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.peer_socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle_message(from, &buffer[..length]),
                Err(error) => {
                    event::warn("message_receive_failed", &[("error", &error)]);
                    tokio::time::sleep(ERROR_WAIT).await;
                }
            }
        }
    }

    fn handle_message(self: &Arc<Self>, from: SocketAddr, datagram: &[u8]) {
        let Some(from) = v4(from) else {
            return;
        };
        match decode(datagram) {
            Ok(message) => self.drive(|machine, now| machine.receive(now, from, message)),
            Err(error) => {
                metrics::counter!("mulberrynotch_refused_messages_total").increment(1);
                let fields: [event::Field<'_>; 2] = [("from", &from), ("error", &error)];
                MESSAGE_REFUSED.warn(self.now(), "message_refused", &fields);
            }
        }
    }

    /// Serves pulls of peers for the lifetime of the process.
    pub(super) async fn serve_pulls(self: Arc<Self>) {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_PULLS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            match self.pull_listener.accept().await {
                Ok((stream, from)) => {
                    let node = self.clone();
                    tokio::spawn(async move {
                        let answer = tokio::time::timeout(PULL_TIMEOUT, node.serve_pull(stream));
                        if let Ok(Err(error)) = answer.await {
                            node.log_pull_failed(from, &error);
                        }
                        drop(permit);
                    });
                }
                Err(error) => {
                    event::warn("pull_accept_failed", &[("error", &error)]);
                    tokio::time::sleep(ERROR_WAIT).await;
                }
            }
        }
    }

    async fn serve_pull(&self, mut stream: TcpStream) -> Result<(), PullError> {
        let pull = postcard::from_bytes(&read_message(&mut stream, MAX_PULL_REQUEST_BYTES).await?)?;
        let answer = self.lock().answer_pull(self.now(), &pull);
        let answer = postcard::to_stdvec(&answer)?;
        let wait = self.lock_pull_limiter().reserve(self.now(), answer.len());
        tokio::time::sleep(wait.ok_or(PullError::Busy)?).await;
        write_message(&mut stream, &answer).await
    }

    /// Pulls records from a peer.
    pub(super) async fn pull(self: Arc<Self>, from: SocketAddrV4, pull: message::Pull) {
        let started = self.now();
        let fetch = tokio::time::timeout(PULL_TIMEOUT, fetch(from, pull));
        match fetch.await {
            Ok(Ok(pulled)) => {
                self.drive(|machine, now| machine.pulled(now, from, started, pulled));
            }
            Ok(Err(error)) => self.log_pull_failed(SocketAddr::V4(from), &error),
            Err(late) => self.log_pull_failed(SocketAddr::V4(from), &late),
        }
    }

    fn log_pull_failed(&self, peer: SocketAddr, error: &dyn std::fmt::Display) {
        let fields: [event::Field<'_>; 2] = [("peer", &peer), ("error", error)];
        PULL_FAILED.warn(self.now(), "pull_failed", &fields);
    }
}

/// Decodes a datagram of a peer.
fn decode(datagram: &[u8]) -> Result<message::Message, PullError> {
    match datagram.split_first() {
        Some((&FORMAT_TAG, encoded)) => Ok(postcard::from_bytes(encoded)?),
        _ => Err(PullError::UnknownFormat),
    }
}

async fn fetch(from: SocketAddrV4, pull: message::Pull) -> Result<message::Pulled, PullError> {
    let mut stream = TcpStream::connect(SocketAddr::V4(from)).await?;
    write_message(&mut stream, &postcard::to_stdvec(&pull)?).await?;
    Ok(postcard::from_bytes(
        &read_message(&mut stream, MAX_PULL_RESPONSE_BYTES).await?,
    )?)
}

async fn write_message(stream: &mut TcpStream, encoded: &[u8]) -> Result<(), PullError> {
    let length = u32::try_from(encoded.len()).map_err(|_| PullError::TooLong)?;
    let mut message = Vec::with_capacity(encoded.len() + 4);
    message.extend(length.to_be_bytes());
    message.extend(encoded);
    stream.write_all(&message).await?;
    Ok(())
}

async fn read_message(stream: &mut TcpStream, limit: usize) -> Result<Vec<u8>, PullError> {
    let length = usize::try_from(stream.read_u32().await?).unwrap_or(usize::MAX);
    if length > limit {
        return Err(PullError::TooLong);
    }
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await?;
    Ok(message)
}
