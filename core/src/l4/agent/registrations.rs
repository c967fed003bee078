//! Registration of the agent's flows with their homes.
//!
//! Flows are registered when they are accepted, once they are long-lived and then in intervals. A home that
//! restarts has lost what was registered there, so its flows are registered again, and all of them before a
//! planned stop. These registrations come as lists, since one frame for each flow would be a burst.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddrV4,
    time::Duration,
};

use rustc_hash::FxBuildHasher;

use super::Agent;
use crate::{
    clock::Time,
    consts::LEAVE_ANNOUNCE_DELAY,
    l4::{
        homes::{Homes, REGISTRATION_TTL},
        message::Message,
        outbox::Outbox,
        segment::{self, Codec, FlowKey},
    },
    member::{Record, View},
    owner_id::{Incarnation, ServiceTag},
};

/// Interval at which flows that have become long-lived are registered, and lists are sent.
const REGISTER_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a stopping agent sends lists.
const STOP_INTERVAL: Duration = Duration::from_millis(10);

/// Time from the start of a stop in which a stopping agent sends its lists. They arrive while the agent
/// still answers.
const STOP_TIME: Duration = LEAVE_ANNOUNCE_DELAY.saturating_sub(Duration::from_millis(100));

/// Flows of one list. Its frame fits the smallest usual MTU.
pub(super) const MAX_LIST_FLOWS: usize = 90;

/// Bytes of lists in one interval: 10 KB a second, what a daemon may spend on control.
const INTERVAL_BYTES: usize = 2_500;

/// Size of a list on the wire without its flows.
const LIST_BYTES: usize = 80;

/// The homes of the agent's flows, and what is to be registered with them.
#[derive(Debug)]
pub(super) struct Registrations {
    /// Address of this agent, which needs no registration of its own flows.
    own: SocketAddrV4,
    homes: Homes,
    /// Homes by flow, until the agents change.
    homes_by_flow: HashMap<FlowKey, [Option<SocketAddrV4>; 2], FxBuildHasher>,
    /// Incarnations of the agents of the service.
    incarnations: BTreeMap<SocketAddrV4, Incarnation>,
    /// Homes that have restarted since the last registration.
    restarted: BTreeSet<SocketAddrV4>,
    /// Lists to send.
    lists: VecDeque<(SocketAddrV4, Vec<FlowKey>)>,
    /// The next registration covers the flows that became long-lived in this range of times. The
    /// range ends at the last registration. Flows that became long-lived after it are covered by the
    /// registration after the next.
    range: (Time, Time),
    /// When flows are registered next; zero to register all long-lived ones, as their homes have changed.
    due: Time,
    /// When all long-lived flows are registered again.
    all_due: Time,
    /// When the lists of a stopping agent have to be sent.
    stop_due: Option<Time>,
}

impl Registrations {
    /// Returns the state of the agent at `own` that starts at `now` and knows no others.
    pub(super) fn new(own: SocketAddrV4, now: Time) -> Self {
        Self {
            own,
            homes: Homes::default(),
            homes_by_flow: HashMap::default(),
            incarnations: BTreeMap::new(),
            restarted: BTreeSet::new(),
            lists: VecDeque::new(),
            range: (now, now),
            due: now,
            all_due: now,
            stop_due: None,
        }
    }

    /// Returns when [`Agent::send_registrations`] must run next.
    pub(super) fn due(&self) -> Time {
        self.due
    }

    /// Applies the agents of a service in a membership view; `have_changed` if an agent was added or removed.
    pub(super) fn apply_view(&mut self, view: &View, tag: ServiceTag, have_changed: bool) {
        let same_tag = |record: &&Record| record.service == tag;
        if have_changed {
            let agents = view.agents().filter(same_tag);
            self.homes = Homes::new(agents.map(|record| record.address));
            self.homes_by_flow.clear();
            let agents: BTreeSet<_> = view.agents().filter(same_tag).map(|r| r.address).collect();
            self.incarnations.retain(|agent, _| agents.contains(agent));
            // All long-lived flows are registered again, as the homes of some have changed.
            self.due = Time::default();
        }
        for record in view.agents().filter(same_tag) {
            let known = self.incarnations.insert(record.address, record.incarnation);
            if known.is_some_and(|known| known < record.incarnation) {
                self.restarted.insert(record.address);
            }
        }
    }

    /// Returns the other agents of the service.
    pub(super) fn others(&self) -> impl Iterator<Item = SocketAddrV4> {
        let agents = self.incarnations.keys().copied();
        agents.filter(|agent| *agent != self.own)
    }

    /// Returns the homes of a flow.
    pub(super) fn homes_of(&mut self, flow: &FlowKey) -> [Option<SocketAddrV4>; 2] {
        let homes = &self.homes;
        let entry = self.homes_by_flow.entry(*flow);
        *entry.or_insert_with(|| homes.of(flow))
    }

    /// Adds lists of these flows for each of their homes that `is_wanted`. Returns the number of registrations.
    fn add_lists(&mut self, flows: &[FlowKey], is_wanted: impl Fn(SocketAddrV4) -> bool) -> usize {
        let mut by_home: BTreeMap<SocketAddrV4, Vec<FlowKey>> = BTreeMap::new();
        for flow in flows {
            for home in self.homes_of(flow).into_iter().flatten() {
                if home != self.own && is_wanted(home) {
                    by_home.entry(home).or_default().push(*flow);
                }
            }
        }
        let mut count = 0;
        for (home, flows) in by_home {
            count += flows.len();
            for list in flows.chunks(MAX_LIST_FLOWS) {
                self.lists.push_back((home, list.to_vec()));
            }
        }
        count
    }

    /// Returns the number of lists to send now, and sets when the next are due.
    fn start_sending(&mut self, now: Time) -> usize {
        self.due = now + REGISTER_INTERVAL;
        let Some(stop_due) = self.stop_due else {
            let mut bytes = 0;
            let fits = |list: &&(_, Vec<FlowKey>)| {
                bytes += LIST_BYTES + list.1.len() * FlowKey::BYTES;
                bytes <= INTERVAL_BYTES
            };
            return self.lists.iter().take_while(fits).count();
        };
        if !self.lists.is_empty() {
            self.due = now + STOP_INTERVAL;
        }
        let rest = stop_due.since(now).as_millis() / STOP_INTERVAL.as_millis();
        self.lists.len().div_ceil(rest as usize + 1)
    }
}

impl<C: Codec> Agent<C> {
    /// Registers long-lived flows with their homes: those of `range`, or all of them when the homes have
    /// changed or half of the registration's lifetime has passed. Sends lists to homes that have restarted.
    pub(super) fn send_registrations(&mut self, now: Time, out: &mut impl Outbox) {
        let state = &mut self.registrations;
        let (from, until) = state.range;
        state.range = (until, now);
        let all = state.due == Time::default() || state.all_due <= now;
        if all {
            state.all_due = now + REGISTRATION_TTL / 2;
            let flows = &self.flows;
            self.prior.retain(|flow| flows.get(flow).is_none());
            let prior = &self.prior;
            let is_known = |flow: &FlowKey| flows.get(flow).is_some() || prior.contains(flow);
            state.homes_by_flow.retain(|flow, _| is_known(flow));
            // While agents come and go, lists would be added faster than they are sent.
            if state.lists.is_empty() {
                let prior: Vec<FlowKey> = prior.iter().copied().collect();
                state.add_lists(&prior, |_| true);
            }
        }
        for flow in self.flows.long_lived(now, (from, until), all) {
            for home in self.registrations.homes_of(&flow).into_iter().flatten() {
                if home != self.options.address {
                    self.send(home, &Message::Register { flow }, &[], out);
                }
            }
        }
        let restarted = std::mem::take(&mut self.registrations.restarted);
        if !restarted.is_empty() {
            let flows = self.held_flows(now);
            let is_wanted = |home| restarted.contains(&home);
            // What was to be sent there is among the flows.
            self.registrations
                .lists
                .retain(|(home, _)| !is_wanted(*home));
            let count = self.registrations.add_lists(&flows, is_wanted);
            self.metrics.home_restarts.inc_by(restarted.len() as u64);
            tracing::info!(
                event = "homes_restarted",
                homes = restarted.len(),
                flows = count
            );
        }
        self.send_lists(now, out);
        self.ask_for_registrations(out);
    }

    /// Registers a new flow with one of its homes, before its caller learns that it is open. The caller's
    /// next segment may reach another balancer, which asks the homes for the owner. A stopping agent, which
    /// may end before the flow is long-lived, registers it with both.
    pub(super) fn register_new(&mut self, flow: FlowKey, out: &mut impl Outbox) {
        let count = if self.stopping { 2 } else { 1 };
        let homes = self.registrations.homes_of(&flow);
        for home in homes.into_iter().take(count).flatten() {
            if home != self.options.address {
                self.send(home, &Message::Register { flow }, &[], out);
            }
        }
    }

    /// Registers all flows with both homes before the agent ends and loses its flow table, unless they end
    /// with their server.
    pub(super) fn register_before_stop(&mut self, now: Time, out: &mut impl Outbox) {
        if self.server.has_left() {
            return;
        }
        let flows = self.held_flows(now);
        self.registrations.lists.clear();
        let count = self.registrations.add_lists(&flows, |_| true);
        tracing::info!(event = "flows_registered_at_stop", flows = count);
        self.registrations.stop_due = Some(now + STOP_TIME);
        self.send_lists(now, out);
    }

    /// Sends the lists that are due.
    fn send_lists(&mut self, now: Time, out: &mut impl Outbox) {
        for _ in 0..self.registrations.start_sending(now) {
            let Some((home, flows)) = self.registrations.lists.pop_front() else {
                return;
            };
            let [flow, others @ ..] = flows.as_slice() else {
                continue;
            };
            self.metrics.registered_again.inc_by(flows.len() as u64);
            let others = segment::encode_flows(others);
            self.send(home, &Message::Register { flow: *flow }, &others, out);
        }
    }

    /// Returns the flows that the backend server holds, or has accepted and their callers may still complete, with
    /// those from before the agent's start that are known.
    fn held_flows(&self, now: Time) -> Vec<FlowKey> {
        let held = self.flows.iter().filter(|(_, entry)| entry.may_go_on(now));
        let held = held.map(|(flow, _)| flow);
        let flows = &self.flows;
        let prior = self.prior.iter().filter(|flow| flows.get(flow).is_none());
        held.chain(prior).copied().collect()
    }
}
