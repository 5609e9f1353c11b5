//! Wires the entry's services and runs them until a planned stop.

use std::sync::{Arc, Mutex};

use base::prelude::*;
use kernel::{ServiceRegistry, stop_channel, terminated};
use mesh::{AskClient, LetterBox, LetterSender};
use poem::listener::TcpAcceptor;
use rand::Rng;
use relay::{
    GateHandle, OnceTable, RelayController, RelayMetrics, RelayParts, SnapshotCell, StampKey, serve,
};
use steer::{EntryMessage, Envelope, GateEvent, RegionGate};
use store::{ClaimStore, PlatformClient};
use tokio::sync::mpsc;

use crate::config::Config;
use crate::lookup;
use crate::poll::PlanPoller;
use crate::stop::StopPlan;
use daemon::{Error, Result, listen};

/// Longest wait for an answer of lh-steer.
const ASK_TIME: Duration = Duration::from_millis(500);
/// Time between two ticks of the gate.
const TICK: Duration = Duration::from_millis(20);
/// Time between two rounds of housekeeping.
const SWEEP: Duration = Duration::from_secs(1);

type Letter = Envelope<EntryMessage>;

/// Runs the entry on a runtime of its own.
pub(crate) fn run(config: &Config) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve_entry(config))
}

async fn serve_entry(config: &Config) -> Result<()> {
    let mut random = rand::rng();
    let node = NodeId::new(&config.instance, Incarnation(random.random()));
    let (outbox, messages) = mpsc::unbounded_channel();
    let gate = RegionGate::new(&node, &config.region, random.random());
    let stamps = StampKey::new(&node, random.random(), Instant::now());

    let mut registry = ServiceRegistry::new();
    let gate = registry.share("gate", GateHandle::new(gate, outbox))?;
    let snapshots = registry.register("snapshots", SnapshotCell::new())?;
    let metrics = registry.register("metrics", RelayMetrics::new()?)?;
    registry.register("region", config.region.clone())?;
    metrics.show_instance(&config.instance, &config.region);
    let controller = registry.share(
        "relay",
        RelayController::new(RelayParts {
            node: node.clone(),
            region: config.region.clone(),
            gate: Arc::clone(&gate),
            snapshots: Arc::clone(&snapshots),
            once: Mutex::new(OnceTable::new(config.once_records)),
            stamps: stamps.clone(),
            claims: ClaimStore::new(PlatformClient::new(config.platform)),
            metrics: (*metrics).clone(),
        }),
    )?;

    let (leave, leaving) = stop_channel();
    let (close, closing) = stop_channel();
    let letters = LetterSender::new();
    let inbox = LetterBox::<Letter>::listen(config.mesh)
        .map_err(|cause| Error::Mesh("messages of entries", cause))?;
    let relay_listener = listen("requests", config.relay).await?;
    let lookup_listener = listen("look-ups", config.lookup).await?;

    let poller = PlanPoller {
        node: node.clone(),
        config: config.clone(),
        client: AskClient::dial(config.steer, ASK_TIME)
            .map_err(|cause| Error::Mesh("asking lh-steer", cause))?,
        gate: Arc::clone(&gate),
        snapshots: Arc::clone(&snapshots),
        stamps,
        letters: letters.clone(),
        metrics: Arc::clone(&metrics),
        leaving,
    };
    let (end, ended) = stop_channel();
    std::thread::spawn(move || poller.run(&ended));
    tokio::spawn(receive(node.clone(), inbox, Arc::clone(&gate)));
    tokio::spawn(send(
        node.clone(),
        messages,
        letters,
        Arc::clone(&snapshots),
    ));
    tokio::spawn(tick(Arc::clone(&gate)));
    tokio::spawn(sweep(Arc::clone(&controller), Arc::clone(&snapshots)));
    let acceptor = TcpAcceptor::from_tokio(lookup_listener)?;
    let routes = lookup::routes(&registry)?;
    tokio::spawn(async move { poem::Server::new_with_acceptor(acceptor).run(routes).await });
    let serving = serve(
        relay_listener,
        config.bounds,
        closing,
        move |request, peer| Arc::clone(&controller).handle(request, peer),
    );
    let serving = tokio::spawn(serving);
    log::info!(node:% = node, relay:% = config.relay, lookup:% = config.lookup; "entry started");

    terminated().await?;
    let stop = StopPlan {
        gate,
        snapshots,
        window: config.drain_window,
        metrics,
        leaving: leave,
        closing: close,
    };
    stop.carry_out().await;
    // What the window did not suffice for is cut here; everything else has ended.
    let _ = tokio::time::timeout(Duration::from_millis(500), serving).await;
    end.stop();
    Ok(())
}

async fn receive(node: NodeId, mut inbox: LetterBox<Letter>, gate: Arc<GateHandle>) {
    while let Some(letter) = inbox.next().await {
        if letter.to != node.incarnation || letter.from == node {
            continue;
        }
        gate.event(&GateEvent::Message {
            from: letter.from,
            body: letter.body,
        });
    }
}

async fn send(
    node: NodeId,
    mut messages: mpsc::UnboundedReceiver<(NodeId, EntryMessage)>,
    letters: LetterSender,
    snapshots: Arc<SnapshotCell>,
) {
    while let Some((to, body)) = messages.recv().await {
        let Some(snapshot) = snapshots.get() else {
            continue;
        };
        let Some(member) = snapshot.member(&to) else {
            continue;
        };
        let letter = Envelope {
            from: node.clone(),
            to: to.incarnation,
            body,
        };
        if let Err(error) = letters.send(member.mesh, &letter) {
            log::debug!(to:% = to, error:% = error; "letter not sent");
        }
    }
}

async fn tick(gate: Arc<GateHandle>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gate.event(&GateEvent::Tick);
    }
}

async fn sweep(controller: Arc<RelayController<PlatformClient>>, snapshots: Arc<SnapshotCell>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        controller.sweep();
        if let Some(snapshot) = snapshots.get() {
            controller.set_retry_share(snapshot.plan().deployment.retry_share);
        }
    }
}
