//! The command line's HTTP client of a node's operators address.

use std::{net::SocketAddr, time::Duration};

use clock::{RuntimeClock, timeout};
use cyper::{Client, Response};
use http::StatusCode;
use serde::de::DeserializeOwned;

/// Longest wait for a node's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Fetches a path and decodes the answer.
pub(crate) async fn get<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, String> {
    call(node, async {
        let client = Client::new()?;
        let response = client.get(format!("http://{node}{path}"))?.send().await?;
        decode(response).await
    })
    .await
}

/// Fetches a path that older nodes do not have.
pub(crate) async fn get_if_known<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
) -> Result<Option<T>, String> {
    call(node, async {
        let client = Client::new()?;
        let response = client.get(format!("http://{node}{path}"))?.send().await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(Ok(None));
        }
        Ok(decode(response).await?.map(Some))
    })
    .await
}

/// Sends an empty `POST` and decodes the answer.
pub(crate) async fn post<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, String> {
    call(node, async {
        let client = Client::new()?;
        let response = client.post(format!("http://{node}{path}"))?.send().await?;
        decode(response).await
    })
    .await
}

async fn call<T>(
    node: SocketAddr,
    answer: impl Future<Output = Result<Result<T, String>, cyper::Error>>,
) -> Result<T, String> {
    match timeout(&RuntimeClock::new(), ANSWER_LIMIT, answer).await {
        Ok(Ok(Ok(value))) => Ok(value),
        Ok(Ok(Err(message))) => Err(format!("node {node}: {message}")),
        Ok(Err(error)) => Err(format!("node {node} did not answer: {error}")),
        Err(_) => Err(format!("node {node}: no answer within {} s", ANSWER_LIMIT.as_secs())),
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
