use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use http::{Response, StatusCode};
use serde::Serialize;
use transport::{Body, Handler, Server, StopSignal, json_response};

/// Binds a server, prints its address for the process that started this one, and serves.
pub(crate) async fn serve<H: Handler + 'static>(
    clock: Rc<dyn Clock>,
    addr: SocketAddr,
    handler: Rc<H>,
) -> std::io::Result<()> {
    let server = Server::bind(clock, addr, StopSignal::new()).await?;
    println!("listening {}", server.local_addr()?);
    server.run(handler).await;
    Ok(())
}

/// Encodes a result: the value with status 200, or the sentence with its status.
pub(crate) fn reply<T: Serialize>(result: Result<T, (StatusCode, String)>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err((status, message)) => json_response(status, &message),
    }
}

/// The result for a request that is malformed.
pub(crate) fn bad_request(message: String) -> (StatusCode, String) {
    (StatusCode::BAD_REQUEST, message)
}
