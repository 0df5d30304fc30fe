//! Faults as they begin and end.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::gateway::GatewayEvent;
use laurelstile_history::leased::{Seen, TaskName, Told};
use rand::Rng;

use super::super::faults::{Fault, Sabotage, ScheduledFault};
use super::super::nodes;
use super::super::nodes::Process;
use super::super::worker::Mood;
use super::{GRACE, Happening, RESEND, RESTART, USER_TIMEOUT, World};

/// How late the other gateways read it at most.
const LATEST_READING: u64 = 500_000;
/// How long an agent that starts takes to read what an earlier one left.
const RECALL: u64 = 5_000;
/// How late the last gateway reads which zones are evacuated.
const LATE_READING: u64 = 4_000_000;

impl World {
    /// A gateway's process is over: its callers' connections break, unless it
    /// went dark, and they hand in again later.
    pub(super) fn end_gateway(&mut self, index: usize, refuses: bool) {
        let in_planned_stop = self.gateways[index].in_planned_stop;
        let incarnation = self.gateways[index].incarnation;
        self.gateways[index].is_up = false;
        self.gateways[index].refuses = refuses;
        let sessions = std::mem::take(&mut self.gateways[index].sessions);
        self.close_peers(index);
        let notice = if refuses { 1_000 } else { USER_TIMEOUT };
        for (session, agent) in sessions {
            let to = self.agents[agent].incarnation;
            let ends = Happening::AgentSessionEnds(agent, to, session);
            let cut_until = self.way_cut_until(agent, index, false);
            let passes = cut_until.min(self.now + USER_TIMEOUT);
            self.schedule(passes.max(self.now + notice), ends);
        }
        for caller in 0..self.callers.len() {
            if self.callers[caller].gateway != Some((index, incarnation)) {
                continue;
            }
            self.callers[caller].gateway = None;
            self.see(Seen::Answered {
                job: caller as u64,
                told: Told::Nothing,
                in_planned_stop,
            });
            self.schedule(self.now + RESEND, Happening::Submit(caller));
        }
    }

    pub(super) fn restart_gateway(&mut self, index: usize) {
        if self.gateways[index].is_up {
            return;
        }
        let incarnation = self.fresh();
        self.gateways[index] = Process::begin(
            nodes::gateway(index, incarnation, &self.deployment),
            incarnation,
            self.now,
        );
        self.open_peers(index, 0);
        let version = self.version;
        let read_at = self.now + 20_000;
        self.schedule(read_at, Happening::ReadEvacuations(index));
        self.schedule(read_at, Happening::ReadConfiguration(index, version));
    }

    pub(super) fn restart_agent(&mut self, index: usize) {
        let incarnation = self.fresh();
        let machine = nodes::agent(index, self.now, self.clocks_back[index]);
        self.agents[index] = Process::begin(machine, incarnation, self.now);
        self.watches[index] = None;
        self.command_faults[index].restart();
        // Gateways tell each other, which is not emulated: an agent that has just started, and
        // knows nothing yet, meets none that has not heard.
        for gateway in 0..self.gateways.len() {
            self.schedule(self.now, Happening::ReadEvacuations(gateway));
        }
        if let Some(record) = self.recorded[index].clone() {
            let event = Box::new(AgentEvent::RecordLoaded {
                registration: record.registration,
                stated_at: record.stated_at,
            });
            let incarnation = self.agents[index].incarnation;
            let recalled = Happening::OrderAnswered(index, incarnation, event);
            self.schedule(self.now + RECALL, recalled);
        }
    }

    pub(super) fn fault_begins(&mut self, scheduled: ScheduledFault) {
        let end = self.now + scheduled.length;
        if self.traced.is_some() {
            println!("{:>12} us  fault  {scheduled:?}", self.now);
        }
        match scheduled.fault {
            Fault::KillGateway(index) if self.gateways[index].is_up => {
                self.gateways[index].in_planned_stop = false;
                self.end_gateway(index, true);
                self.schedule(self.now + RESTART, Happening::RestartGateway(index));
            }
            Fault::DarkGateway(index) if self.gateways[index].is_up => {
                self.gateways[index].in_planned_stop = false;
                self.end_gateway(index, false);
                self.schedule(end, Happening::RestartGateway(index));
            }
            Fault::FreezeGateway(index) => {
                self.gateways[index].in_planned_stop = false;
                self.gateways[index].freeze(end);
            }
            Fault::StopGateway(index)
                if self.gateways[index].is_up
                    && self.gateways[index].frozen_until <= self.now
                    && !self.gateways[index].machine.is_stopping() =>
            {
                self.gateways[index].in_planned_stop = !self.gateways[index].is_slow();
                let incarnation = self.gateways[index].incarnation;
                self.schedule(self.now + GRACE, Happening::GraceEnds(index, incarnation));
                self.gateway_event(index, GatewayEvent::Stop);
            }
            Fault::KillAgent(index) if self.agents[index].is_up => {
                self.kill_agent(index);
                self.schedule(self.now + RESTART, Happening::RestartAgent(index));
            }
            Fault::FreezeAgent(index) => self.agents[index].freeze(end),
            Fault::SuspendGateway(index) => {
                let is_uncounted = self.sabotage == Some(Sabotage::SteadyClocks);
                let gateway = &mut self.gateways[index];
                gateway.in_planned_stop = false;
                gateway.suspend(self.now, end, is_uncounted);
            }
            Fault::SuspendAgent(index) => {
                let is_uncounted = self.sabotage == Some(Sabotage::SteadyClocks);
                self.agents[index].suspend(self.now, end, is_uncounted);
            }
            Fault::Shrink(worker, percent) => {
                let capacity = self.workers[worker].full_capacity;
                self.set_capacity(worker, capacity * percent / 100);
                self.end_fault_later(scheduled, end);
            }
            Fault::Cut(agent, gateway) => {
                self.cuts.insert((agent, gateway), end);
            }
            Fault::CutPeers(from, to) if from != to => self.cut_peers(from, to, end),
            Fault::CutWay(agent, gateway, is_to_gateway) => {
                self.cut_way(agent, gateway, is_to_gateway, end);
            }
            Fault::IsolateGateway(gateway) => self.isolate_gateway(gateway, end),
            Fault::CrashWorker(worker) if self.workers[worker].life != 0 => {
                self.crash_worker(worker, None);
                self.schedule(end, Happening::WorkerBegins(worker));
            }
            Fault::KillWorker(worker) if self.workers[worker].life != 0 => {
                self.kill_worker(worker, None);
            }
            Fault::DrainWorker(worker) if self.workers[worker].life != 0 => {
                self.workers[worker].draining = true;
                self.tell_agent(worker);
                self.end_fault_later(scheduled, self.now + 4_000_000);
            }
            Fault::LeaveWorker(worker)
                if self.workers[worker].life != 0 && !self.workers[worker].draining =>
            {
                self.leave_worker(worker);
            }
            Fault::ReturnWorker(worker) if self.workers[worker].life != 0 => {
                self.return_worker(worker, scheduled.length);
            }
            Fault::BreakCallers(gateway) => self.break_callers(gateway, scheduled.length, false),
            Fault::MoveCallers(gateway, resubmitted_after) => {
                self.move_callers(gateway, scheduled.length, resubmitted_after);
            }
            Fault::CutCallers(gateway) => {
                self.gateways[gateway].callers_cut_until = end;
                self.break_callers(gateway, 0, true);
            }
            Fault::LateDeregistration(worker) => self.late_deregistration(worker),
            Fault::OtherWriter(worker, word) => self.other_writer(worker, word),
            Fault::SeverSessions(gateway) => self.sever_sessions(gateway),
            Fault::Failing(worker) => self.set_mood(scheduled, worker, Mood::Failing),
            Fault::Hanging(worker) => self.set_mood(scheduled, worker, Mood::Hanging),
            Fault::Slow(worker) => self.set_mood(scheduled, worker, Mood::Slow),
            Fault::DelayCommands(worker) => self.command_faults[worker].delay(end),
            Fault::UnansweredCommands(worker, group) => {
                self.command_faults[worker].leave_unanswered(group, end);
            }
            Fault::RejectCommands(worker, group) => {
                self.command_faults[worker].reject(group, end);
            }
            Fault::RefuseSessions(agent, gateway) => self.refuse_sessions(agent, gateway, end),
            Fault::DarkAgent(index) if self.agents[index].is_up => self.darken_agent(index, end),
            Fault::DelayHandshakes(agent) => {
                self.handshakes_delayed_until.insert(agent, end);
            }
            Fault::ShutWorker(worker, is_restarted) if self.workers[worker].life != 0 => {
                self.shut_worker(worker, end);
                if is_restarted && self.agents[worker].is_up {
                    self.recorded[worker] = None;
                    self.kill_agent(worker);
                    self.schedule(self.now + RESTART, Happening::RestartAgent(worker));
                }
            }
            Fault::SucceedWorker(worker) if self.workers[worker].life != 0 => {
                self.close_to_successor(worker, end);
            }
            Fault::StepClockBack(index, millis) if self.agents[index].is_up => {
                self.clocks_back[index] += millis;
                self.kill_agent(index);
                self.schedule(self.now + RESTART, Happening::RestartAgent(index));
            }
            Fault::SlowGateway(index, factor) => {
                self.gateways[index].in_planned_stop = false;
                self.gateways[index].slow_down(factor, end);
            }
            Fault::SlowAgent(index, factor) => self.agents[index].slow_down(factor, end),
            Fault::LateOrders => self.late_orders_until = end,
            Fault::Configure => {
                self.version += 3;
                for index in 0..self.gateways.len() {
                    let new = Happening::ReadConfiguration(index, self.version);
                    let old = Happening::ReadConfiguration(index, self.version - 3);
                    let delay = self.random.random_range(1_000..500_000);
                    self.schedule(self.now + delay, new);
                    self.schedule(self.now + delay + 50_000, old);
                }
            }
            Fault::Evacuate(zone) => {
                let zone = nodes::zone_name(zone);
                if self.evacuations.zones.insert(zone.clone()) {
                    self.see(Seen::Evacuated { zone });
                    self.evacuations_changed();
                    self.end_fault_later(scheduled, end);
                }
            }
            Fault::HoldHeartbeats(worker) => self.hold_heartbeats(worker, end),
            Fault::LoseRecords(agent) => self.lose_records(agent, end),
            Fault::ReturnUnheard(worker, unheard) if self.workers[worker].life != 0 => {
                self.crash_worker(worker, None);
                self.schedule(end, Happening::WorkerReturns(worker, unheard));
            }
            Fault::LateHeartbeat(worker) => {
                if !self.is_deaf(worker)
                    && let Some(registration) = self.ended_lives[worker].clone()
                {
                    self.agent_event(worker, AgentEvent::Registered(registration));
                }
            }
            _ => {}
        }
    }

    /// Gateways read soon which zones are evacuated; one of them hears of it so late that
    /// agents have to hold out until then.
    fn evacuations_changed(&mut self) {
        self.evacuations.revision += 1;
        let late = self.random.random_range(0..self.gateways.len());
        for index in 0..self.gateways.len() {
            let delay = if index == late {
                LATE_READING
            } else {
                self.random.random_range(1_000..LATEST_READING)
            };
            self.schedule(self.now + delay, Happening::ReadEvacuations(index));
        }
        // Agents hear of it from gateways alone: each has to be in reach of one that has read it.
        self.schedule(self.now + LATEST_READING, Happening::ReadIfAlone(late));
    }

    /// Whether each agent is in reach of a gateway in service that knows which zones are evacuated
    /// now.
    pub(super) fn is_evacuation_known(&self) -> bool {
        let is_informed = |gateway: &usize| {
            let process = &self.gateways[*gateway];
            let is_in_service = process.is_up && process.frozen_until <= self.now;
            is_in_service && process.machine.evacuations().revision == self.evacuations.revision
        };
        let informed: Vec<usize> = (0..self.gateways.len()).filter(is_informed).collect();
        (0..self.agents.len()).all(|agent| {
            informed
                .iter()
                .any(|gateway| !self.is_link_cut(agent, *gateway))
        })
    }

    pub(super) fn set_mood(&mut self, scheduled: ScheduledFault, worker: usize, mood: Mood) {
        self.workers[worker].mood = mood;
        self.end_fault_later(scheduled, self.now + scheduled.length);
    }

    pub(super) fn end_fault_later(&mut self, scheduled: ScheduledFault, at: u64) {
        let index = self
            .faults
            .iter()
            .position(|known| known.at == scheduled.at && known.fault == scheduled.fault);
        if let Some(index) = index {
            self.schedule(at, Happening::FaultEnds(index));
        }
    }

    pub(super) fn fault_ends(&mut self, fault: Fault) {
        match fault {
            Fault::Failing(worker) | Fault::Hanging(worker) | Fault::Slow(worker) => {
                self.workers[worker].mood = Mood::Well;
            }
            Fault::Shrink(worker, _) => {
                let capacity = self.workers[worker].full_capacity;
                self.set_capacity(worker, capacity);
            }
            Fault::Evacuate(zone) => {
                let zone = nodes::zone_name(zone);
                self.evacuations.zones.remove(&zone);
                self.see(Seen::TakenBack { zone });
                self.evacuations_changed();
            }
            Fault::DrainWorker(worker) if self.workers[worker].life != 0 => {
                self.crash_worker(worker, None);
                self.schedule(self.now + RESTART, Happening::WorkerBegins(worker));
            }
            _ => {}
        }
    }

    /// A worker's room changes; its next heartbeat says so.
    fn set_capacity(&mut self, worker: usize, capacity: u32) {
        let state = &mut self.workers[worker];
        let before = std::mem::replace(&mut state.capacity, capacity);
        let life = state.life;
        if life != 0 {
            self.see(Seen::Capacity { life, before });
        }
    }

    pub(super) fn kill_agent(&mut self, index: usize) {
        self.agents[index].is_up = false;
        let sessions = std::mem::take(&mut self.agents[index].sessions);
        for (session, gateway) in sessions {
            let to = self.gateways[gateway].incarnation;
            let ends = Happening::GatewaySessionEnds(gateway, to, session);
            let at = self.end_heard_at(session);
            self.schedule(at, ends);
        }
    }

    /// A worker's life ends, with all that it ran.
    pub fn crash_worker(&mut self, worker: usize, by: Option<TaskName>) {
        let life = self.workers[worker].life;
        self.see(Seen::Crashed { life, by });
        self.ended_lives[worker] = Some(self.registration(worker));
        self.break_watch(worker);
        let changes = self.workers[worker].crash();
        self.see_changes(life, worker, &changes);
    }
}
