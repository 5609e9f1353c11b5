//! Long-running test doubles: the platform's store and the backend servers.

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

/// Duration of the cold start of a backend server.
const COLD_TIME: Duration = Duration::from_secs(2);
/// Interval between two registrations of a server, as on the users' platform.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Number of missed heartbeats after which the registration of a server expires.
const EXPIRY_HEARTBEATS: u32 = 3;
/// Interval between two checks whether the mode of a server has changed.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Store table with the registrations of servers.
const SERVER_TABLE: &str = "servers";

/// A server with its part and failure domain.
#[derive(Clone)]
struct RegisteredServer {
    backend: BackendSim,
    part: String,
    domain: String,
}

/// Runs the platform's store until SIGTERM.
pub(crate) async fn run_store(listen: SocketAddr) -> Result<()> {
    let _store = FakeStore::serve(TcpListener::bind(listen).await?);
    wait_for_termination().await;
    Ok(())
}

/// Runs every backend server of a deployment until SIGTERM.
pub(crate) async fn run_backends(
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
            let registered = RegisteredServer {
                backend: backend.clone(),
                part: pool.part.clone(),
                domain: pool.domain.to_string(),
            };
            tokio::spawn(register(client.clone(), registered));
            backends.push(backend);
        }
    }
    let acceptor = TcpAcceptor::from_tokio(TcpListener::bind(control).await?)?;
    let server = poem::Server::new_with_acceptor(acceptor);
    server
        .run_with_graceful_shutdown(control_routes(&backends), wait_for_termination(), None)
        .await?;
    Ok(())
}

/// Registers a server periodically, and immediately when its mode changes. The registration of
/// a server that is down expires.
async fn register(client: PlatformClient, registered: RegisteredServer) {
    let mut seq = 0;
    loop {
        let mode = registered.backend.mode();
        let id = backend_id(&registered.backend);
        if mode == ServerMode::Down {
            wait_for_mode_change(
                &registered.backend,
                mode,
                HEARTBEAT_INTERVAL * EXPIRY_HEARTBEATS,
            )
            .await;
            write_row(&client, RowWrite::delete(SERVER_TABLE, &id)).await;
            wait_for_mode_change(&registered.backend, mode, Duration::MAX).await;
            continue;
        }
        seq += 1;
        let entry = backend_entry(
            &registered.backend,
            &registered.part,
            &registered.domain,
            seq,
        );
        let row = RowWrite::new(SERVER_TABLE, &id, &entry.to_string());
        write_row(&client, row).await;
        wait_for_mode_change(&registered.backend, mode, HEARTBEAT_INTERVAL).await;
    }
}

async fn wait_for_mode_change(backend: &BackendSim, mode: ServerMode, max_wait: Duration) {
    let started = tokio::time::Instant::now();
    while backend.mode() == mode && started.elapsed() < max_wait {
        tokio::time::sleep(MODE_POLL_INTERVAL).await;
    }
}

async fn write_row(client: &PlatformClient, row: RowWrite) {
    if let Err(error) = client.commit(&[row]).await {
        log::debug!(error:%; "failed to register server");
    }
}

async fn wait_for_termination() {
    if let Err(error) = kernel::wait_for_termination().await {
        log::error!(error:% = error; "failed to wait for termination signals");
    }
}
