use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use http::{Response, StatusCode};
use serde::Serialize;
use transport::{Body, Handler, Server, StopSignal, json_response};

/// Binds a server, prints `listening ADDRESS` to standard output for the parent process, and
/// serves requests.
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

/// Encodes a result as JSON: the value with status 200, or the error message with its status.
pub(crate) fn reply<T: Serialize>(result: Result<T, (StatusCode, String)>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err((status, message)) => json_response(status, &message),
    }
}

/// The error for a malformed request.
pub(crate) fn bad_request(message: String) -> (StatusCode, String) {
    (StatusCode::BAD_REQUEST, message)
}
