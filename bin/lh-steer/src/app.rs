//! Wires the control side's loops and runs them until a planned stop.

use base::prelude::*;
use kernel::terminated;
use mesh::{AskServer, LetterBox, LetterSender};
use poem::listener::TcpAcceptor;
use store::PlatformClient;

use crate::config::Config;
use crate::core::SteerCore;
use crate::gossip::{self, GossipLetter};
use crate::metrics::SteerMetrics;
use crate::platform::PlatformLoop;
use crate::{admin, probe};
use daemon::{Error, Result, listen};

/// Worker threads; the control side must stay small.
const THREADS: usize = 2;

/// Runs the control side on a runtime of its own.
pub(crate) fn run(config: &Config) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(steer(config))
}

async fn steer(config: &Config) -> Result<()> {
    let core = SteerCore::new(config);
    let metrics = SteerMetrics::new()?;
    let admin_listener = listen("operators", config.admin).await?;
    let inbox = LetterBox::<GossipLetter>::listen(config.gossip)
        .map_err(|cause| Error::Mesh("gossip", cause))?;
    let polled = core.clone();
    let server = AskServer::listen(config.steer, move |ask| {
        polled.lock().on_poll(Instant::now(), ask)
    })
    .map_err(|cause| Error::Mesh("the entry's asks", cause))?;

    let letters = LetterSender::new();
    let client = PlatformClient::new(config.platform).with_timeout(config.store_timeout);
    let platform = PlatformLoop::new(core.clone(), client, &config.region, config.store_period);
    tokio::spawn(gossip::receive(
        core.clone(),
        inbox,
        letters.clone(),
        config.gossip,
    ));
    tokio::spawn(gossip::spread(core.clone(), letters, config.gossip_period));
    tokio::spawn(platform.run());
    tokio::spawn(probe::run(core.clone(), config.probe_period));
    let acceptor = TcpAcceptor::from_tokio(admin_listener)?;
    let routes = admin::routes(&core, &metrics);
    tokio::spawn(async move { poem::Server::new_with_acceptor(acceptor).run(routes).await });
    log::info!(instance:% = config.instance, gossip:% = config.gossip; "steer started");

    terminated().await?;
    drop(server);
    Ok(())
}
