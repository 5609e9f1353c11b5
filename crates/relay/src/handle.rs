//! The gate as the request path uses it: shared, awaited, with slots that give
//! themselves back.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::prelude::*;
use steer::{
    Arrival, EntryMessage, GateAction, GateEvent, Origin, Refusal, RegionGate, RequestId, RunResult,
};
use tokio::sync::{mpsc, oneshot};

/// Messages to other entries, on their way to the mesh.
pub type MessageSink = mpsc::UnboundedSender<(NodeId, EntryMessage)>;

/// What the gate made of a request.
#[derive(Debug)]
pub enum Admission {
    /// It holds a slot.
    Slot(SlotLease),
    /// It is refused and was not run.
    Refused(Refusal),
    /// It is to be handed to an instance of another region.
    Spilled(NodeId),
}

/// Failures and answers of one server since the last reading.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunTally {
    /// Runs that failed or found the server unreachable.
    pub failed: u32,
    /// Runs with a complete answer.
    pub answered: u32,
}

#[derive(Debug)]
enum Decision {
    Dispatch {
        server: BackendServerId,
        until: Instant,
    },
    Refuse(Refusal),
    Spill(NodeId),
}

#[derive(Debug)]
struct GateState {
    gate: RegionGate,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
    tallies: HashMap<BackendServerId, RunTally>,
}

/// A shared gate.
#[derive(Debug)]
pub struct GateHandle {
    state: Mutex<GateState>,
    sink: MessageSink,
    next_request: AtomicU64,
}

impl GateHandle {
    /// Shares `gate`; its messages to other entries go to `sink`.
    pub fn new(gate: RegionGate, sink: MessageSink) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(GateState {
                gate,
                waiting: HashMap::new(),
                tallies: HashMap::new(),
            }),
            sink,
            next_request: AtomicU64::new(0),
        })
    }

    /// Asks for a slot and waits for the gate's decision. Dropping the future
    /// takes the request out of the queue.
    pub async fn admit(
        self: &Arc<Self>,
        service: &ServiceId,
        deadline: Instant,
        origin: &Origin,
        may_spill: bool,
    ) -> Admission {
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let arrival = Arrival {
            request,
            service: service.clone(),
            deadline,
            origin: origin.clone(),
            may_spill,
        };
        let (sender, receiver) = oneshot::channel();
        let waiting = WaitGuard {
            handle: self,
            request,
        };
        self.event_with(&GateEvent::Arrive(arrival), |state| {
            state.waiting.insert(request, sender);
        });
        let decision = receiver.await;
        std::mem::forget(waiting);
        match decision {
            Ok(Decision::Dispatch { server, until }) => Admission::Slot(SlotLease {
                handle: Arc::clone(self),
                request,
                server,
                until,
                result: RunResult::Failed,
            }),
            Ok(Decision::Refuse(refusal)) => Admission::Refused(refusal),
            Ok(Decision::Spill(node)) => Admission::Spilled(node),
            Err(_) => Admission::Refused(Refusal {
                reason: steer::RefusalReason::Draining,
                retry_after: Duration::from_secs(1),
            }),
        }
    }

    /// Feeds one event to the gate and carries its actions out.
    pub fn event(&self, event: &GateEvent) {
        self.event_with(event, |_| {});
    }

    /// The same, with something else to be done under the same lock.
    fn event_with(&self, event: &GateEvent, work: impl FnOnce(&mut GateState)) {
        let mut messages = Vec::new();
        let mut state = self.lock();
        work(&mut state);
        state.feed(event, &mut messages);
        drop(state);
        for message in messages {
            // The receiver lives as long as the process; at a stop the rest is dropped.
            let _ = self.sink.send(message);
        }
    }

    /// Reads or changes the gate itself.
    pub fn with_gate<R>(&self, work: impl FnOnce(&mut RegionGate) -> R) -> R {
        work(&mut self.lock().gate)
    }

    /// Takes the tallies of runs since the last call.
    pub fn take_tallies(&self) -> HashMap<BackendServerId, RunTally> {
        std::mem::take(&mut self.lock().tallies)
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    fn feed(&mut self, event: &GateEvent, messages: &mut Vec<(NodeId, EntryMessage)>) {
        let now = Instant::now();
        let mut actions = Vec::new();
        self.gate.on_event(now, event, &mut actions);
        while let Some(action) = actions.pop() {
            match action {
                GateAction::Send { to, body } => messages.push((to, body)),
                GateAction::Refuse { request, refusal } => {
                    self.decide(request, Decision::Refuse(refusal));
                }
                GateAction::Spill { request, node, .. } => {
                    self.decide(request, Decision::Spill(node));
                }
                GateAction::Dispatch {
                    request,
                    server,
                    until,
                } => {
                    if self.decide(request, Decision::Dispatch { server, until }) {
                        continue;
                    }
                    // Its caller has gone meanwhile: the slot is free again.
                    let result = RunResult::Shed;
                    let event = GateEvent::Finished { request, result };
                    self.gate.on_event(now, &event, &mut actions);
                }
            }
        }
    }

    fn tally(&mut self, server: &BackendServerId, result: RunResult) {
        if !self.tallies.contains_key(server) {
            self.tallies.insert(server.clone(), RunTally::default());
        }
        let Some(tally) = self.tallies.get_mut(server) else {
            return;
        };
        match result {
            RunResult::Answered => tally.answered += 1,
            RunResult::Unreachable | RunResult::Failed => tally.failed += 1,
            RunResult::Shed => {}
        }
    }

    fn decide(&mut self, request: RequestId, decision: Decision) -> bool {
        self.waiting
            .remove(&request)
            .is_some_and(|sender| sender.send(decision).is_ok())
    }
}

/// Takes a request out of the queue when its caller goes away.
struct WaitGuard<'a> {
    handle: &'a Arc<GateHandle>,
    request: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let request = self.request;
        let undecided = self.handle.lock().waiting.remove(&request).is_some();
        if undecided {
            self.handle.event(&GateEvent::Abandon { request });
            return;
        }
        // A slot was given in the same moment; nobody will use it.
        let result = RunResult::Shed;
        self.handle.event(&GateEvent::Finished { request, result });
    }
}

/// A slot of a backend server, given back when dropped.
#[derive(Debug)]
pub struct SlotLease {
    handle: Arc<GateHandle>,
    request: RequestId,
    server: BackendServerId,
    until: Instant,
    result: RunResult,
}

impl SlotLease {
    /// The server whose slot it is.
    pub fn server(&self) -> &BackendServerId {
        &self.server
    }

    /// When it must be given back.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Sets how the run ended; without a call it counts as failed.
    pub fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let result = self.result;
        let request = self.request;
        let event = GateEvent::Finished { request, result };
        self.handle
            .event_with(&event, |state| state.tally(&self.server, result));
    }
}
