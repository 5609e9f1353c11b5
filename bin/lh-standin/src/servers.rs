//! The platform's store and the backend servers as long-running stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use conf::ConfigBundle;
use platform::tables::PlatformClient;
use platform_standin::{FakeStore, backend_entry, backend_id, serve_backend};
use poem::listener::TcpAcceptor;
use standin::{BackendSim, BackendSpec, ServerMode, control_routes};
use store::{RowWrite, TableService};
use tokio::net::TcpListener;

use crate::error::Result;

/// Time after a start in which a backend server is slower.
const COLD_TIME: Duration = Duration::from_secs(2);
/// Time between two registrations of a server, as on the users' platform.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Heartbeats after which the entry of a silent server lapses.
const LAPSE_BEATS: u32 = 3;
/// Time between two looks at whether a server's mode has changed.
const LOOK: Duration = Duration::from_millis(50);
/// Table of the servers' registrations.
const SERVER_TABLE: &str = "servers";

/// A server with its place.
#[derive(Clone)]
struct PlacedServer {
    backend: BackendSim,
    part: String,
    domain: String,
}

/// Runs the platform's store until SIGTERM.
pub(crate) async fn platform(listen: SocketAddr) -> Result<()> {
    let _store = FakeStore::serve(TcpListener::bind(listen).await?);
    stopped().await;
    Ok(())
}

/// Runs every backend server of a deployment until SIGTERM.
pub(crate) async fn backends(
    deploy: &Path,
    control: SocketAddr,
    platform: SocketAddr,
) -> Result<()> {
    let deployment = ConfigBundle::from_folder(deploy)?.deployment()?;
    let client = PlatformClient::new(platform);
    let mut backends = Vec::new();
    for pool in &deployment.pools {
        let Some(service) = deployment.service_of(&pool.part) else {
            continue;
        };
        for server in &pool.servers {
            let backend = BackendSim::new(BackendSpec {
                address: server.to_string(),
                slots: u16::try_from(pool.slots).unwrap_or(u16::MAX),
                service_time: service.servers.service_time,
                cold_time: COLD_TIME,
                seed: backends.len() as u64,
            });
            let listener = TcpListener::bind(server.as_str()).await?;
            tokio::spawn(serve_backend(listener, backend.clone()));
            let placed = PlacedServer {
                backend: backend.clone(),
                part: pool.part.clone(),
                domain: pool.domain.to_string(),
            };
            tokio::spawn(register(client.clone(), placed));
            backends.push(backend);
        }
    }
    let acceptor = TcpAcceptor::from_tokio(TcpListener::bind(control).await?)?;
    let server = poem::Server::new_with_acceptor(acceptor);
    server
        .run_with_graceful_shutdown(control_routes(&backends), stopped(), None)
        .await?;
    Ok(())
}

/// Keeps a server's registration up to date, at once when its mode changes. The
/// registration of one that is down lapses.
async fn register(client: PlatformClient, placed: PlacedServer) {
    let mut seq = 0;
    loop {
        let mode = placed.backend.mode();
        let id = backend_id(&placed.backend);
        if mode == ServerMode::Down {
            wait_for_change(&placed.backend, mode, HEARTBEAT * LAPSE_BEATS).await;
            write(&client, RowWrite::delete(SERVER_TABLE, &id)).await;
            wait_for_change(&placed.backend, mode, Duration::MAX).await;
            continue;
        }
        seq += 1;
        let entry = backend_entry(&placed.backend, &placed.part, &placed.domain, seq);
        let row = RowWrite::new(SERVER_TABLE, &id, &entry.to_string());
        write(&client, row).await;
        wait_for_change(&placed.backend, mode, HEARTBEAT).await;
    }
}

async fn wait_for_change(backend: &BackendSim, mode: ServerMode, most: Duration) {
    let begun = tokio::time::Instant::now();
    while backend.mode() == mode && begun.elapsed() < most {
        tokio::time::sleep(LOOK).await;
    }
}

async fn write(client: &PlatformClient, row: RowWrite) {
    if let Err(error) = client.commit(&[row]).await {
        log::debug!(error:%; "server not registered");
    }
}

async fn stopped() {
    if let Err(error) = kernel::wait_for_termination().await {
        log::error!(error:% = error; "signals can't be heard");
    }
}
