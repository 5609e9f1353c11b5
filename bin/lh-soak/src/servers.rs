//! Fake backend servers. They register at the store and record the requests that reach them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use platform_standin::{FakeStore, Partition, server_entry_in};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::config::{SoakConfig, region_and_domain, server_id};
use crate::error::Result;
use crate::history::{RunEvent, RunRecorder, millis};
use crate::rollouts;
use crate::server_connections::{self, ServerIdentity};
use crate::server_run::ServerRun;
use crate::statements::StatementBoard;

/// Name of the service that all servers offer.
pub(crate) const SERVICE: &str = "board";
/// Store table with the registrations of servers.
const TABLE: &str = "servers";

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveKind {
    /// It writes the state `draining`; its row is deleted later.
    Announced,
    /// Its row is deleted at once.
    Unannounced,
}

/// A backend server.
#[derive(Debug, Clone)]
pub(crate) struct SoakServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    domain: String,
    service: &'static str,
    version: String,
    /// Sequence number of its latest registration.
    seq: u64,
    /// Start of its run in Unix milliseconds; `None` if it states none.
    started: Option<u64>,
    /// Whether it drains; a server that does so doesn't start again.
    pub(crate) is_draining: bool,
    pub(crate) run: Arc<ServerRun>,
}

impl SoakServer {
    fn registration(&self, state: &str, seq: u64) -> Value {
        let mut row = server_entry_in(&self.domain, self.service, self.address, state, seq);
        row["version"] = json!(self.version);
        let cold_ms = self.run.cold_remaining().as_millis();
        row["coldRemaining"] = json!(format!("{cold_ms}ms"));
        if let Some(started) = self.started {
            row["born"] = json!(started);
        }
        row
    }
}

/// All running servers and the store at which they register.
#[derive(Debug, Clone)]
pub(crate) struct ServerPool {
    store: FakeStore,
    recorder: RunRecorder,
    live: Arc<Mutex<Vec<SoakServer>>>,
    /// Servers of the versions of the service that is rolled out.
    versions: Arc<Mutex<Vec<SoakServer>>>,
    started: Arc<Mutex<usize>>,
    /// Whether the slots of servers are limited, and servers state their start.
    has_slots: bool,
    silent_losses: bool,
    service_time: Duration,
    /// What the servers say of themselves.
    pub(crate) statements: StatementBoard,
    /// Separates entries from the servers.
    pub(crate) partition: Partition,
}

impl ServerPool {
    /// Creates an empty pool.
    pub(crate) fn new(store: FakeStore, recorder: RunRecorder, config: &SoakConfig) -> Self {
        Self {
            store,
            recorder,
            has_slots: config.power_losses,
            silent_losses: config.silent_losses,
            service_time: config.service_time,
            live: Arc::default(),
            versions: Arc::default(),
            started: Arc::default(),
            statements: StatementBoard::default(),
            partition: Partition::default(),
        }
    }

    /// Starts a server and registers it.
    pub(crate) async fn start_server(&self) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let index = {
            let mut started = self.started.lock().unwrap_or_else(PoisonError::into_inner);
            *started += 1;
            *started - 1
        };
        let server = SoakServer {
            id: server_id(index),
            address: listener.local_addr()?,
            domain: region_and_domain(index).1,
            service: SERVICE,
            version: "v1".to_owned(),
            seq: 1,
            started: self.has_slots.then(unix_millis),
            is_draining: false,
            run: Arc::new(ServerRun::new(self.has_slots)),
        };
        self.serve(listener, &server);
        self.store
            .put(TABLE, &server.id, &server.registration("ready", 1));
        self.live().push(server);
        Ok(())
    }

    fn serve(&self, listener: TcpListener, server: &SoakServer) {
        let identity = ServerIdentity {
            id: server.id.clone(),
            recorder: self.recorder.clone(),
            statements: self.statements.clone(),
            partition: self.partition.clone(),
            run: Arc::clone(&server.run),
            service_time: self.service_time,
        };
        tokio::spawn(server_connections::accept(listener, identity));
    }

    /// Starts and registers the server `id` of a version of the service that is rolled out.
    pub(crate) async fn start_version_server(
        &self,
        id: &str,
        index: usize,
        version: &str,
        is_bad: bool,
    ) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        if is_bad {
            self.statements.set_bad(id);
        }
        let server = SoakServer {
            id: id.to_owned(),
            address: listener.local_addr()?,
            domain: region_and_domain(index).1,
            service: rollouts::SERVICE,
            version: version.to_owned(),
            seq: 1,
            started: self.has_slots.then(unix_millis),
            is_draining: false,
            run: Arc::new(ServerRun::new(false)),
        };
        self.serve(listener, &server);
        self.store.put(TABLE, id, &server.registration("ready", 1));
        self.versions().push(server);
        Ok(())
    }

    /// Lets the server `id` of a version drain.
    pub(crate) fn drain_version_server(&self, id: &str) {
        let Some(mut row) = self.store.row(TABLE, id) else {
            return;
        };
        for version_server in self.versions().iter_mut() {
            version_server.is_draining |= version_server.id == id;
        }
        row["state"] = json!("draining");
        row["seq"] = json!(2);
        let server = id.to_owned();
        self.recorder.record(RunEvent::Left { server });
        self.store.put(TABLE, id, &row);
    }

    /// Ends the server `id` of a version.
    pub(crate) fn stop_version_server(&self, id: &str) {
        self.statements.set_stopped(id);
        self.versions().retain(|server| server.id != id);
        self.store.delete_row(TABLE, id);
    }

    /// Ends the runs of all servers at once. Their rows stay. Returns the servers.
    pub(crate) fn cut_power(&self) -> Vec<SoakServer> {
        let mut servers: Vec<SoakServer> = self.live().drain(..).collect();
        servers.extend(self.versions().drain(..));
        for server in &servers {
            if self.silent_losses {
                server.run.end_silently();
            } else {
                server.run.end();
            }
            self.statements.clear(&server.id);
        }
        servers
    }

    /// Starts `server` again, cold, at `address` and under its id. It answers nothing for `silence`. It registers with the start
    /// of its new run.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub(crate) async fn restart_server(
        &self,
        server: &SoakServer,
        address: SocketAddr,
        silence: Duration,
    ) -> Result<()> {
        let listener = TcpListener::bind(address).await?;
        let run = ServerRun::new(self.has_slots && server.service == SERVICE)
            .with_cold_start()
            .with_silence(silence);
        let server = SoakServer {
            run: Arc::new(run),
            address: listener.local_addr()?,
            seq: 1,
            started: Some(unix_millis()),
            ..server.clone()
        };
        self.serve(listener, &server);
        let row = server.registration("ready", 1);
        self.store.put(TABLE, &server.id, &row);
        if server.service == SERVICE {
            self.live().push(server);
        } else {
            self.versions().push(server);
        }
        Ok(())
    }

    /// Removes and returns the servers whose runs have ended.
    pub(crate) fn take_ended(&self) -> Vec<SoakServer> {
        let ended = |server: &mut SoakServer| server.run.has_ended();
        let mut servers: Vec<SoakServer> = self.live().extract_if(.., ended).collect();
        servers.extend(self.versions().extract_if(.., ended));
        servers
    }

    /// Number of servers that have not left.
    pub(crate) fn live_count(&self) -> usize {
        self.live().len()
    }

    /// The id of the running server that the number `draw` selects.
    pub(crate) fn draw_live(&self, draw: u32) -> String {
        let live = self.live();
        live[draw as usize % live.len()].id.clone()
    }

    /// The ids of all running servers.
    pub(crate) fn live_ids(&self) -> Vec<String> {
        self.live().iter().map(|server| server.id.clone()).collect()
    }

    /// Lets the server `id` leave, with its row `draining`. Returns whether it had not left yet.
    pub(crate) fn announce_leaving(&self, id: &str) -> bool {
        let index = self.live().iter().position(|server| server.id == id);
        let Some(index) = index else {
            return false;
        };
        self.start_leaving(index, LeaveKind::Announced);
        true
    }

    /// Lets the server at `index` leave. It still serves requests that reach it.
    pub(crate) fn start_leaving(&self, index: usize, kind: LeaveKind) -> SoakServer {
        let mut server = self.live().swap_remove(index);
        let server_id = server.id.clone();
        self.recorder.record(RunEvent::Left { server: server_id });
        server.seq += 1;
        match kind {
            LeaveKind::Announced => {
                let registration = server.registration("draining", server.seq);
                self.store.put(TABLE, &server.id, &registration);
            }
            LeaveKind::Unannounced => self.store.delete_row(TABLE, &server.id),
        }
        server
    }

    /// Deletes the row of a departed server.
    /// Deletes the row of `server` if no later run has registered under its id.
    pub(crate) fn expire_row(&self, server: &SoakServer) {
        let row = self.store.row(TABLE, &server.id);
        if row.is_some_and(|row| row["born"].as_u64() == server.started) {
            self.store.delete_row(TABLE, &server.id);
        }
    }

    pub(crate) fn delete_row(&self, server: &SoakServer) {
        self.store.delete_row(TABLE, &server.id);
    }

    /// Registers a departed server as draining again, with a sequence number above all earlier ones.
    pub(crate) fn write_draining(&self, server: &SoakServer) {
        let registration = server.registration("draining", server.seq + 1);
        self.store.put(TABLE, &server.id, &registration);
    }

    /// Applies a heartbeat that `server` sent before it left, with its old sequence number.
    pub(crate) fn write_late_heartbeat(&self, server: &SoakServer) {
        let id = server.id.clone();
        self.recorder.record(RunEvent::LateHeartbeat { server: id });
        let registration = server.registration("ready", server.seq - 1);
        self.store.put(TABLE, &server.id, &registration);
    }

    /// Deletes the rows of the share `share` of the servers and returns their ids, for
    /// [`ServerPool::reregister`].
    pub(crate) fn expire_rows(&self, share: f64) -> Vec<String> {
        let live = self.live();
        let count = (live.len() as f64 * share) as usize;
        let expired = live.iter().take(count);
        let expired: Vec<String> = expired.map(|server| server.id.clone()).collect();
        for id in &expired {
            self.store.delete_row(TABLE, id);
        }
        expired
    }

    /// Registers those of the servers `expired` again that have not left.
    pub(crate) fn reregister(&self, expired: &[String]) {
        let mut live = self.live();
        for server in live.iter_mut() {
            if expired.contains(&server.id) {
                server.seq += 1;
                let registration = server.registration("ready", server.seq);
                self.store.put(TABLE, &server.id, &registration);
            }
        }
    }

    fn versions(&self) -> MutexGuard<'_, Vec<SoakServer>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn live(&self) -> MutexGuard<'_, Vec<SoakServer>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    millis(now.unwrap_or_default())
}
