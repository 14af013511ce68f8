//! `gypsumrack config`: shows and changes the fleet configuration in the key-value service.

use std::{net::SocketAddr, path::Path, rc::Rc};

use clock::{Clock, RuntimeClock};
use fleet::{Author, ConfigStore, Difference, VersionedConfig, WriteOutcome, diff, edit};
use keyvalue::HttpKeyValue;
use settings::{Exception, FleetConfig, ModelConfig, PolicyChange};
use transport::Timeouts;

use super::{
    Exit,
    config_args::{ChangeArgs, ConfigCommand, ExceptCommand, ModelCommand, ServiceCommand},
    settings_file, status,
};

/// Time-outs of a call to the key-value service. They are longer than those of a node, because an
/// operator can wait longer than a request.
const STORE_TIMEOUTS: Timeouts = Timeouts::from_millis(1000, 1000);

pub(crate) async fn run(command: ConfigCommand) -> Result<Exit, String> {
    match command {
        ConfigCommand::Show { store } => show(store.addr()?).await,
        ConfigCommand::History { store } => history(store.addr()?).await,
        ConfigCommand::Status { nodes } => status::print_revisions(nodes).await,
        ConfigCommand::Edit { file, change } => replace_config(&file, &change).await,
        ConfigCommand::Set { key, value, change: args } => {
            change_config(&args, |config| {
                config.with_default(&key, &value).map_err(|faults| faults.to_string())
            })
            .await
        }
        ConfigCommand::Except(command) => change_exceptions(command).await,
        ConfigCommand::Model(command) => set_model(command).await,
        ConfigCommand::Service(command) => set_service(command).await,
    }
}

/// Reads the configuration, changes it with `modify` and writes it.
pub(crate) async fn change_config(
    args: &ChangeArgs,
    modify: impl FnOnce(&FleetConfig) -> Result<FleetConfig, String>,
) -> Result<Exit, String> {
    let store = open_store(args.store.addr()?);
    let read = store.read().await.map_err(|error| format!("not accepted: {error}"))?;
    let new_config = modify(&read.config).map_err(|message| format!("not accepted:\n{message}"))?;
    Ok(write_config(&store, &read, new_config, &args.author).await)
}

async fn show(addr: SocketAddr) -> Result<Exit, String> {
    let read = open_store(addr).read().await.map_err(|error| error.to_string())?;
    print!("{}", read.config.to_toml());
    Ok(Exit::Success)
}

async fn history(addr: SocketAddr) -> Result<Exit, String> {
    let read = open_store(addr).read().await.map_err(|error| error.to_string())?;
    for change in &read.config.history {
        let (id, author) = (&change.id, &change.author);
        println!("revision {} by {author} at {} ms ({id})", change.revision, change.time_ms);
        println!("  {}", change.summary);
    }
    Ok(Exit::Success)
}

/// Replaces the configuration by an edited file, unless the stored revision is no longer the one
/// that was edited.
async fn replace_config(file: &Path, args: &ChangeArgs) -> Result<Exit, String> {
    let new_config = settings_file::load_fleet(file)?;
    let store = open_store(args.store.addr()?);
    let read = store.read().await.map_err(|error| format!("not accepted: {error}"))?;
    if read.config.revision != new_config.revision {
        println!(
            "not accepted: the file was edited from revision {}, but revision {} by {} is stored",
            new_config.revision, read.config.revision, read.config.author
        );
        print_differences(&diff(&new_config, &read.config));
        return Ok(Exit::Failure);
    }
    Ok(write_config(&store, &read, new_config, &args.author).await)
}

async fn change_exceptions(command: ExceptCommand) -> Result<Exit, String> {
    match command {
        ExceptCommand::Add { scope, name, reason, values, leaving, change: args } => {
            let set = PolicyChange::parse(&values).map_err(|faults| faults.to_string())?;
            let exception = Exception { scope, name, reason, leaving, set };
            change_config(&args, |config| Ok(edit::add_exception(config, exception))).await
        }
        ExceptCommand::Remove { scope, name, change: args } => {
            change_config(&args, |config| Ok(edit::remove_exception(config, scope, &name))).await
        }
    }
}

async fn set_model(command: ModelCommand) -> Result<Exit, String> {
    let ModelCommand::Set { name, model_version, layers, replicas, stages, change: args } = command;
    change_config(&args, |config| {
        let mut changed = config.clone();
        let new = ModelConfig { version: "".into(), layers: 0, replicas: 1, stages: None };
        let model = changed.models.entry(name.as_str().into()).or_insert(new);
        if let Some(version) = model_version {
            model.version = version.into();
        }
        model.layers = layers.unwrap_or(model.layers);
        model.stages = stages.or(model.stages);
        model.replicas = replicas.unwrap_or(model.replicas);
        Ok(changed)
    })
    .await
}

async fn set_service(command: ServiceCommand) -> Result<Exit, String> {
    let ServiceCommand::Set { name, idempotent, refusal, lookup, change: args } = command;
    change_config(&args, |config| {
        let mut changed = config.clone();
        let service = changed.services.entry(name.as_str().into()).or_default();
        if !idempotent.is_empty() {
            service.idempotent = idempotent;
        }
        if !refusal.is_empty() {
            service.refusals = refusal;
        }
        service.lookup = lookup.or(service.lookup.take());
        Ok(changed)
    })
    .await
}

fn open_store(addr: SocketAddr) -> ConfigStore {
    let clock = Rc::new(RuntimeClock::new());
    ConfigStore::new(Rc::new(HttpKeyValue::new(clock.clone(), addr, STORE_TIMEOUTS)), clock)
}

/// Writes a configuration in place of the one that was read, and prints the outcome.
async fn write_config(
    store: &ConfigStore,
    read: &VersionedConfig,
    new_config: FleetConfig,
    author: &str,
) -> Exit {
    let time = RuntimeClock::new().unix_millis();
    let change_id = format!("{time:x}-{:x}", rand::random::<u64>());
    let author = Author { name: author.to_owned(), change_id };
    let outcome = store.write(read, new_config, &author).await;
    print_outcome(&outcome, read, &author.change_id)
}

fn print_outcome(outcome: &WriteOutcome, read: &VersionedConfig, change: &str) -> Exit {
    match outcome {
        WriteOutcome::Accepted { revision, differences } => {
            println!("accepted: revision {revision} (change {change})");
            print_differences(differences);
            Exit::Success
        }
        WriteOutcome::Unchanged { revision } => {
            println!("nothing written: revision {revision}, as read, already is as asked for");
            Exit::Success
        }
        WriteOutcome::Conflict { revision, author, differences } => {
            println!(
                "not accepted: revision {revision} by {author} came first; since revision {}:",
                read.config.revision
            );
            print_differences(differences);
            Exit::Failure
        }
        WriteOutcome::Invalid(faults) => {
            println!("not accepted:\n{faults}");
            Exit::Failure
        }
        WriteOutcome::Unavailable => {
            println!("not accepted: key-value service is unavailable");
            Exit::Failure
        }
        WriteOutcome::Unknown => {
            println!(
                "unknown: the change may be in force now or later; look for change {change} in \
                 `gypsumrack config history` before you repeat it"
            );
            Exit::Unknown
        }
    }
}

fn print_differences(differences: &[Difference]) {
    differences.iter().for_each(|difference| println!("  {difference}"));
}
