use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Clock;
use futures_util::{FutureExt, future::LocalBoxFuture};
use transport::{CallError, HttpClient, Timeouts};
use types::Verdict;

use crate::{
    KeyValue, KvError,
    api::{Entry, Expected, KvReply, KvRequest, PATH, PutReply},
};

/// Longest wait of one watch call. If the connection stops carrying data, the client notices it
/// only after this wait and the progress timeout. The wait is short because a changed configuration
/// has to be in force on every node within 11 s.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// HTTP client of the key-value service. All calls share the idle connections, which are closed when
/// any call gets no answer.
pub struct HttpKeyValue {
    client: HttpClient,
    timeouts: Timeouts,
}

impl HttpKeyValue {
    /// Creates a client for the service at `addr`.
    pub fn new(clock: Rc<dyn Clock>, addr: SocketAddr, timeouts: Timeouts) -> HttpKeyValue {
        HttpKeyValue { client: HttpClient::new(clock, addr), timeouts }
    }

    async fn call(&self, call: KvRequest) -> Result<KvReply, KvError> {
        self.client.post_json(PATH, &call, self.timeouts).await.map_err(kv_error)
    }
}

impl KeyValue for HttpKeyValue {
    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let call = KvRequest::Get { key: key.into() };
        async move { expect_entry(self.call(call).await?) }.boxed_local()
    }

    fn put(
        &self,
        key: &str,
        expected: Expected,
        value: String,
        lease: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        let call = KvRequest::Put { key: key.into(), expected, value, lease };
        async move {
            match self.call(call).await? {
                KvReply::Put(reply) => Ok(reply),
                _ => Err(KvError::Unknown),
            }
        }
        .boxed_local()
    }

    fn delete(&self, key: &str, version: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        let call = KvRequest::Delete { key: key.into(), version };
        async move { expect_done(self.call(call).await?) }.boxed_local()
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        let call = KvRequest::List { prefix: prefix.into(), after: after.into(), limit };
        async move {
            match self.call(call).await? {
                KvReply::Entries(entries) => Ok(entries),
                _ => Err(KvError::Unknown),
            }
        }
        .boxed_local()
    }

    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        let wait_millis = WATCH_WAIT.as_millis() as u64;
        let call = KvRequest::Watch { key: key.into(), after, wait_millis };
        let progress = WATCH_WAIT + self.timeouts.progress;
        let timeouts = Timeouts { progress, ..self.timeouts };
        async move {
            let reply = self.client.post_json(PATH, &call, timeouts).await;
            expect_entry(reply.map_err(kv_error)?)
        }
        .boxed_local()
    }

    fn grant(&self, ttl_millis: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        async move {
            match self.call(KvRequest::Grant { ttl_millis }).await? {
                KvReply::Lease(lease) => Ok(lease),
                _ => Err(KvError::Unknown),
            }
        }
        .boxed_local()
    }

    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        async move { expect_done(self.call(KvRequest::Renew { lease }).await?) }.boxed_local()
    }

    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        async move { expect_done(self.call(KvRequest::Revoke { lease }).await?).map(drop) }
            .boxed_local()
    }
}

/// Converts the error of an HTTP call. If the service answers with an error status, the call has
/// changed no entry, so a write certainly took no effect.
fn kv_error(error: CallError) -> KvError {
    match error.verdict() {
        Verdict::NotRun | Verdict::Ran => KvError::Unavailable,
        Verdict::MayHaveRun => KvError::Unknown,
    }
}

fn expect_entry(reply: KvReply) -> Result<Option<Entry>, KvError> {
    match reply {
        KvReply::Entry(entry) => Ok(entry),
        _ => Err(KvError::Unknown),
    }
}

fn expect_done(reply: KvReply) -> Result<bool, KvError> {
    match reply {
        KvReply::Done(done) => Ok(done),
        _ => Err(KvError::Unknown),
    }
}
