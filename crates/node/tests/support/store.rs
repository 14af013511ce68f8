//! A fake key-value service that holds the configuration and is unavailable for all other calls.

use std::collections::BTreeMap;

use fleet::CONFIG_KEY;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, pending},
};
use keyvalue::{
    KeyValue, KvError,
    api::{Entry, Expected, PutReply},
};
use settings::{FleetConfig, ModelConfig};

use super::{FakePeers, LAYERS_PER_RANGE};

impl KeyValue for FakePeers {
    fn watch(&self, key: &str, after: u64) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        if after > 0 {
            return pending().boxed_local();
        }
        let model = ModelConfig {
            version: "1".into(),
            layers: 2 * LAYERS_PER_RANGE,
            replicas: 2,
            stages: None,
        };
        let config = FleetConfig {
            revision: 1,
            models: BTreeMap::from([("m".into(), model)]),
            ..FleetConfig::default()
        };
        let entry = Entry { key: key.into(), value: config.to_toml(), version: 1, created: 1 };
        std::future::ready(Ok(Some(entry))).boxed_local()
    }

    fn get(&self, key: &str) -> LocalBoxFuture<'_, Result<Option<Entry>, KvError>> {
        if key == CONFIG_KEY { self.watch(key, 0) } else { refused() }
    }

    fn put(
        &self,
        _: &str,
        _: Expected,
        _: String,
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, Result<PutReply, KvError>> {
        refused()
    }

    fn delete(&self, _: &str, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        refused()
    }

    fn list(&self, _: &str, _: &str, _: u32) -> LocalBoxFuture<'_, Result<Vec<Entry>, KvError>> {
        refused()
    }

    fn grant(&self, _: u64) -> LocalBoxFuture<'_, Result<u64, KvError>> {
        refused()
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, Result<bool, KvError>> {
        refused()
    }

    fn revoke(&self, _: u64) -> LocalBoxFuture<'_, Result<(), KvError>> {
        refused()
    }
}

fn refused<T: 'static>() -> LocalBoxFuture<'static, Result<T, KvError>> {
    std::future::ready(Err(KvError::Unavailable)).boxed_local()
}
