use std::{pin::pin, rc::Rc, time::Duration};

use clock::timeout;
use futures_util::future::{Either, select};
use rand::Rng;
use transport::{CallError, StopSignal};

use crate::{
    PeerTarget, Peers, SUSPECT_AFTER,
    frame::{FrameReader, FrameWriter, broken},
    link::Link,
    query::{client_builder, stream_request},
};

/// Longest time for each step of opening a link: connection, handshake and stream.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the first attempt to reconnect, which doubles with each failure; also the time that
/// a connection has to send the end of its stream.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to connect.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Keeps a link to one node, and opens it again when it is lost, until `stop` is raised or the
/// handler of this node is dropped.
pub(crate) async fn maintain_link(peers: Rc<Peers>, target: PeerTarget, stop: StopSignal) {
    let mut pause = MIN_PAUSE;
    let started = peers.clock.now();
    while !stop.is_raised() && peers.handler().is_some() {
        let attempt_start = peers.clock.now();
        if let Err(error) = run_link(&peers, &target, &stop).await {
            tracing::debug!(peer = %target.node, %error, "link was lost");
        }
        if stop.is_raised() {
            return;
        }
        let now = peers.clock.now();
        // Contact before the start of this task does not count: the task has to try for a while
        // before it reports that the node is silent.
        let last_contact = peers.last_contact(&target.node).unwrap_or(started).max(started);
        if now.since(last_contact) >= SUSPECT_AFTER
            && let Some(handler) = peers.handler()
        {
            let changes = handler.on_silence(&target.node);
            peers.forward(None, changes);
        }
        // If the other node was in contact during this attempt, the link is opened again soon.
        pause = if last_contact > attempt_start { MIN_PAUSE } else { (pause * 2).min(MAX_PAUSE) };
        let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.0));
        select(peers.clock.sleep(jittered), pin!(stop.raised())).await;
    }
}

/// Opens a link and runs it until it ends or `stop` is raised.
async fn run_link(
    peers: &Rc<Peers>,
    target: &PeerTarget,
    stop: &StopSignal,
) -> Result<(), CallError> {
    let clock = &*peers.clock;
    let stream = transport::connect(clock, target.addr, OPEN_TIMEOUT).await?;
    let handshake = client_builder().handshake(transport::tokio_stream(stream));
    let (sender, connection) = timeout(clock, OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| CallError::Timeout)?
        .map_err(broken)?;
    let exchange = async {
        let open = async {
            let mut sender = sender.ready().await.map_err(broken)?;
            let (response, writer) =
                sender.send_request(stream_request(), false).map_err(broken)?;
            let response = response.await.map_err(broken)?;
            Ok::<_, CallError>((sender, response.into_body(), writer))
        };
        let opened = timeout(clock, OPEN_TIMEOUT, open).await.map_err(|_| CallError::Timeout)?;
        let (_sender, reader, writer) = opened?;
        let (reader, writer) = (FrameReader::new(reader), FrameWriter::new(writer));
        let mut link = Link::outgoing(peers.clone(), target.node.clone(), reader, writer);
        let ended = {
            let running = pin!(link.run(None));
            match select(running, pin!(stop.raised())).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            }
        };
        if let Some(result) = ended {
            return result;
        }
        link.end_stream();
        // The connection needs time to send the end of the stream before it is dropped.
        clock.sleep(MIN_PAUSE).await;
        Ok(())
    };
    match select(pin!(connection), pin!(exchange)).await {
        Either::Left((Ok(()), _)) => Err(CallError::Broken("connection was closed".into())),
        Either::Left((Err(error), _)) => Err(broken(error)),
        Either::Right((result, _)) => result,
    }
}
