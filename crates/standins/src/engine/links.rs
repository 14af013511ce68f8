use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use engines::api::{Cancel, Fault, Handoff, StreamFault};
use futures_channel::mpsc;
use futures_util::{StreamExt, future::join_all};
use transport::{HttpClient, Timeouts};

use super::Engine;

/// Deadlines of a call to another engine.
const LINK_TIMEOUTS: Timeouts = Timeouts::from_millis(200, 1000);

/// Connections to other engines, one task each.
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
        // The task of a link never ends, so sending cannot fail.
        let _ = sender.unbounded_send(message);
    }
}

/// Sends the queued messages to one engine, as many at once as are waiting.
async fn run(
    engine: Rc<Engine>,
    client: Rc<HttpClient>,
    messages: mpsc::UnboundedReceiver<LinkMessage>,
) {
    let mut batches = messages.ready_chunks(64);
    while let Some(batch) = batches.next().await {
        let delay = link_delay(&engine, client.addr());
        let (engine, client) = (engine.clone(), client.clone());
        // A slow link delays messages but does not lower their rate.
        compio::runtime::spawn(async move {
            if !delay.is_zero() {
                engine.clock.sleep(delay).await;
            }
            join_all(batch.into_iter().map(|message| deliver(&engine, &client, message))).await;
        })
        .detach();
    }
}

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
                tracing::info!(%error, addr = %client.addr(), "handoff failed");
                report_fault(engine, &handoff);
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

/// Tells the first stage that the engine that the handoff was meant for cannot be reached.
fn report_fault(engine: &Rc<Engine>, handoff: &Handoff) {
    let blamed = handoff.route.get(handoff.stage).map(|stage| stage.engine.clone());
    engine.fail(handoff, blamed, StreamFault::HandoffFailed);
}
