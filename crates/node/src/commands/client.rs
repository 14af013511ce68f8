//! The HTTP client with which the commands call a node's operators address.

use std::{net::SocketAddr, time::Duration};

use clock::{RuntimeClock, timeout};
use cyper::{Client, Response};
use http::StatusCode;
use serde::de::DeserializeOwned;

/// Longest wait for a node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a `GET` request and decodes the answer.
pub(crate) async fn get<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, String> {
    await_answer(node, async {
        let client = Client::new()?;
        let response = client.get(format!("http://{node}{path}"))?.send().await?;
        decode(response).await
    })
    .await
}

/// Sends a `GET` request for a path that older nodes do not have. Returns `None` from such a node.
pub(crate) async fn get_optional<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
) -> Result<Option<T>, String> {
    await_answer(node, async {
        let client = Client::new()?;
        let response = client.get(format!("http://{node}{path}"))?.send().await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(Ok(None));
        }
        Ok(decode(response).await?.map(Some))
    })
    .await
}

/// Sends a `POST` request with an empty body and decodes the answer.
pub(crate) async fn post<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, String> {
    await_answer(node, async {
        let client = Client::new()?;
        let response = client.post(format!("http://{node}{path}"))?.send().await?;
        decode(response).await
    })
    .await
}

/// Waits for the answer of a node, up to the time-out, and names the node in the error.
async fn await_answer<T>(
    node: SocketAddr,
    answer: impl Future<Output = Result<Result<T, String>, cyper::Error>>,
) -> Result<T, String> {
    match timeout(&RuntimeClock::new(), ANSWER_TIMEOUT, answer).await {
        Ok(Ok(Ok(value))) => Ok(value),
        Ok(Ok(Err(message))) => Err(format!("node {node}: {message}")),
        Ok(Err(error)) => Err(format!("node {node} did not answer: {error}")),
        Err(_) => Err(format!("node {node}: no answer within {} s", ANSWER_TIMEOUT.as_secs())),
    }
}

async fn decode<T: DeserializeOwned>(
    response: Response,
) -> Result<Result<T, String>, cyper::Error> {
    let status = response.status();
    if !status.is_success() {
        return Ok(Err(format!("answered with status {status}: {}", response.text().await?)));
    }
    Ok(Ok(response.json().await?))
}
