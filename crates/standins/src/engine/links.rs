use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use engines::api::{Cancel, Fault, Handoff, StreamFault};
use futures_channel::mpsc;
use futures_util::{StreamExt, future::join_all};
use transport::{HttpClient, Timeouts};

use super::Engine;

/// Time limits of a call to another engine.
const LINK_TIMEOUTS: Timeouts = Timeouts::from_millis(200, 1000);

/// Queues of messages to other engines. One task per engine sends them.
pub(crate) struct Links {
    clock: Rc<dyn Clock>,
    senders: RefCell<HashMap<SocketAddr, mpsc::UnboundedSender<LinkMessage>>>,
}

/// A message to another engine.
pub(crate) enum LinkMessage {
    Handoff(Handoff),
    Fault(Fault),
    Cancel(Cancel),
}

impl Links {
    pub(crate) fn new(clock: Rc<dyn Clock>) -> Links {
        Links { clock, senders: RefCell::default() }
    }

    /// Queues a message for the engine at `addr`.
    pub(crate) fn send(&self, engine: &Rc<Engine>, addr: SocketAddr, message: LinkMessage) {
        let mut senders = self.senders.borrow_mut();
        let sender = senders.entry(addr).or_insert_with(|| {
            let (sender, messages) = mpsc::unbounded();
            let client = Rc::new(HttpClient::new(self.clock.clone(), addr));
            compio::runtime::spawn(run(engine.clone(), client, messages)).detach();
            sender
        });
        // The task keeps the receiver until the process ends, so sending cannot fail.
        let _ = sender.unbounded_send(message);
    }
}

/// Sends the queued messages to one engine. Messages that wait together are sent at the same time.
async fn run(
    engine: Rc<Engine>,
    client: Rc<HttpClient>,
    messages: mpsc::UnboundedReceiver<LinkMessage>,
) {
    let mut batches = messages.ready_chunks(64);
    while let Some(batch) = batches.next().await {
        let delay = link_delay(&engine, client.addr());
        let (engine, client) = (engine.clone(), client.clone());
        // Each batch is sent in a task of its own, because a delay on the link must not lower the
        // rate of messages.
        compio::runtime::spawn(async move {
            if !delay.is_zero() {
                engine.clock.sleep(delay).await;
            }
            join_all(batch.into_iter().map(|message| deliver(&engine, &client, message))).await;
        })
        .detach();
    }
}

/// Delay of messages to the engine at `addr`, as the faults set it.
fn link_delay(engine: &Engine, addr: SocketAddr) -> Duration {
    let faults = engine.faults.borrow();
    let micros = faults.link_micros.get(&addr).copied().unwrap_or(faults.handoff_micros);
    Duration::from_micros(micros)
}

async fn deliver(engine: &Rc<Engine>, client: &HttpClient, message: LinkMessage) {
    match message {
        LinkMessage::Handoff(handoff) => {
            let sent: Result<(), _> =
                client.post_json("/v1/handoff", &handoff, LINK_TIMEOUTS).await;
            if let Err(error) = sent {
                tracing::info!(%error, addr = %client.addr(), "handoff to another engine failed");
                fail_undelivered(engine, &handoff);
            }
        }
        LinkMessage::Fault(fault) => {
            let _: Result<(), _> = client.post_json("/v1/fault", &fault, LINK_TIMEOUTS).await;
        }
        LinkMessage::Cancel(cancel) => {
            let _: Result<(), _> = client.post_json("/v1/cancel", &cancel, LINK_TIMEOUTS).await;
        }
    }
}

/// Ends the attempt of a handoff that could not be delivered, and blames the engine that it was
/// sent to.
fn fail_undelivered(engine: &Rc<Engine>, handoff: &Handoff) {
    let blamed = handoff.route.get(handoff.stage).map(|stage| stage.engine.clone());
    engine.fail_attempt(handoff, blamed, StreamFault::HandoffFailed);
}
