//! A model engine that runs a range of a model's layers.

mod batch;
mod cache;
mod handler;
mod links;
mod session;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use clock::Clock;
use engines::api::{CacheEvent, Handoff, Load};
use futures_channel::mpsc;
use types::{LayerRange, ModelName, UpstreamName};

use crate::{control::EngineFaults, server};
use cache::PrefixCache;
use links::Links;
use session::Session;

/// Settings of an engine.
#[derive(Clone, Debug, clap::Args)]
pub struct EngineArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Name of the engine.
    #[arg(long)]
    pub name: String,
    /// Model that is loaded at start; empty for none.
    #[arg(long, default_value = "")]
    pub model: String,
    /// Version of the model.
    #[arg(long, default_value = "1")]
    pub version: String,
    /// First layer that is loaded at start.
    #[arg(long, default_value_t = 0)]
    pub first_layer: u32,
    /// Layer after the last one that is loaded at start.
    #[arg(long, default_value_t = 0)]
    pub end_layer: u32,
    /// Number of sessions that run at once, as load reports state it. The engine itself accepts up
    /// to four times as many.
    #[arg(long, default_value_t = 16)]
    pub slots: u32,
    /// Base time of one step, in microseconds.
    #[arg(long, default_value_t = 1000)]
    pub step_micros: u64,
    /// Additional time for each session in a step, in microseconds.
    #[arg(long, default_value_t = 50)]
    pub item_micros: u64,
    /// Additional time for each token of a prefill that is not cached, in microseconds.
    #[arg(long, default_value_t = 20)]
    pub prefill_micros: u64,
    /// Largest number of blocks in the prefix cache.
    #[arg(long, default_value_t = 4096)]
    pub cache_blocks: usize,
    /// Interval of load reports, and delay until cache events become visible, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub report_lag_millis: u64,
    /// Time to load a model, in milliseconds.
    #[arg(long, default_value_t = 300)]
    pub load_millis: u64,
    /// Accepts orders with outdated fencing tokens too.
    #[arg(long)]
    pub ignore_fencing: bool,
}

/// Shared state of an engine process.
pub(crate) struct Engine {
    pub(crate) args: EngineArgs,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) name: UpstreamName,
    pub(crate) incarnation: u64,
    pub(crate) loaded: RefCell<Option<Loaded>>,
    pub(crate) sessions: RefCell<HashMap<Arc<str>, Session>>,
    pub(crate) cache: RefCell<PrefixCache>,
    pub(crate) faults: RefCell<EngineFaults>,
    /// Connections up to this number get no answers.
    pub(crate) last_silenced: Cell<u64>,
    pub(crate) last_connection: Cell<u64>,
    /// Handoffs that wait for the step loop in [`batch::run`].
    pub(crate) work_queue: mpsc::UnboundedSender<Handoff>,
    pub(crate) links: Links,
    /// The last two load reports, the older one first.
    pub(crate) reports: RefCell<VecDeque<Load>>,
    /// Cache events with the time at which each was recorded.
    pub(crate) events: RefCell<Vec<(clock::Timestamp, CacheEvent)>>,
    /// Fencing token of the last accepted order.
    pub(crate) order_token: Cell<u64>,
    /// Handoffs to other engines so far, for [`EngineFaults::drop_every`].
    pub(crate) handoff_count: Cell<u32>,
    /// Positions that this engine has run since its start.
    pub(crate) positions_run: Cell<u64>,
}

/// The model version and the layers that are loaded.
#[derive(Clone, Debug)]
pub(crate) struct Loaded {
    pub(crate) model: ModelName,
    pub(crate) version: Arc<str>,
    pub(crate) layers: LayerRange,
}

/// Runs an engine until the process ends.
pub async fn run(clock: Rc<dyn Clock>, args: EngineArgs) -> std::io::Result<()> {
    let (work_queue, queue) = mpsc::unbounded();
    let layers = LayerRange { start: args.first_layer, end: args.end_layer };
    let loaded = (!args.model.is_empty()).then(|| Loaded {
        model: args.model.as_str().into(),
        version: args.version.as_str().into(),
        layers,
    });
    let engine = Rc::new(Engine {
        name: args.name.as_str().into(),
        incarnation: clock.unix_millis(),
        loaded: RefCell::new(loaded),
        sessions: RefCell::default(),
        cache: RefCell::new(PrefixCache::new(args.cache_blocks)),
        faults: RefCell::default(),
        last_silenced: Cell::new(0),
        last_connection: Cell::new(0),
        work_queue,
        links: Links::new(clock.clone()),
        reports: RefCell::default(),
        events: RefCell::default(),
        order_token: Cell::new(0),
        handoff_count: Cell::new(0),
        positions_run: Cell::new(0),
        clock: clock.clone(),
        args,
    });
    compio::runtime::spawn(batch::run(engine.clone(), queue)).detach();
    compio::runtime::spawn(report_load(engine.clone())).detach();
    server::serve(clock, engine.args.listen, engine).await
}

/// Records a load report at each interval and keeps the last two. `GET /v1/load` returns the older
/// one, which is one to two intervals old.
async fn report_load(engine: Rc<Engine>) {
    let lag = Duration::from_millis(engine.args.report_lag_millis.max(1));
    loop {
        let report = engine.current_load();
        {
            let mut reports = engine.reports.borrow_mut();
            reports.push_back(report);
            while reports.len() > 2 {
                reports.pop_front();
            }
        }
        engine.clock.sleep(lag).await;
    }
}

impl Engine {
    pub(crate) fn current_load(&self) -> Load {
        let loaded = self.loaded.borrow();
        let empty = LayerRange { start: 0, end: 0 };
        let slowdown = u64::from(self.faults.borrow().slowdown.max(1));
        Load {
            engine: self.name.clone(),
            incarnation: self.incarnation,
            model: loaded.as_ref().map_or_else(|| "".into(), |l| l.model.clone()),
            version: loaded.as_ref().map_or_else(|| "".into(), |l| l.version.clone()),
            layers: loaded.as_ref().map_or(empty, |l| l.layers),
            slots: self.args.slots,
            running: self.sessions.borrow().values().filter(|s| s.is_active()).count() as u32,
            step_micros: (self.args.step_micros + self.args.item_micros) * slowdown,
            prefill_micros: self.args.prefill_micros * slowdown,
            leaving: self.faults.borrow().leaving,
            order_token: self.order_token.get(),
        }
    }
}
