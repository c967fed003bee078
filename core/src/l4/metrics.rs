//! Metrics of balancers and agents.

use prometheus_client::metrics::{
    counter::Counter,
    gauge::Gauge,
    histogram::{Histogram, exponential_buckets},
};

use super::directives::Directives;
use crate::metrics::{CounterFamily, Metrics};

/// Upper bound of the first bucket of answer times.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// Number of buckets of answer times. Each bound is twice the one before, up to 4 s, the longest
/// deadline.
const BUCKET_COUNT: u16 = 12;

/// Metrics of a balancer.
#[derive(Clone, Debug, Default)]
pub struct BalancerMetrics {
    /// Opening segments sent to agents.
    pub placed: Counter,
    /// Openings to which an agent did not reply in time.
    pub silent: Counter,
    /// Openings without an agent that were dropped, as another balancer may have placed a later copy.
    pub openings_dropped: Counter,
    /// Openings that an agent refused, by reason.
    pub refused: CounterFamily,
    /// Searches for the owner of a flow, by outcome.
    pub searched: CounterFamily,
    /// Agents in the rounds of searches, by what each replied.
    pub round_replies: CounterFamily,
    /// Searches that were kept as they could not be decided, by reason.
    pub kept: CounterFamily,
    /// Trial deliveries, each of one segment to all agents that may hold its flow.
    pub trials: Counter,
    /// Segments sent to agents on trial.
    pub trial_segments: Counter,
    /// Segments that agents returned as their servers do not hold the flows.
    pub returned: Counter,
    /// Flows whose callers were sent a reset, by reason.
    pub reset: CounterFamily,
    /// Agents that are queried because they left a search without an answer.
    pub silent_agents: Gauge,
    /// Silent agents that came to count as absent.
    pub absent_agents: Counter,
    /// Reports of readiness by timeout, before all members were fetched.
    pub ready_before_join: Counter,
    /// Failure domains that are evacuated.
    pub evacuated: Gauge,
}

impl BalancerMetrics {
    /// Sets the number of evacuated failure domains.
    pub fn set_evacuated(&self, directives: &Directives) {
        self.evacuated.set(directives.evacuated.len() as i64);
    }

    /// Counts a search under its outcome, the value of the label `end`.
    pub fn count_search(&self, end: &'static str) {
        self.searched.get_or_create(&[("end", end)]).inc();
    }

    /// Counts a search that is kept, with the value of the label `reason`.
    pub fn count_kept(&self, reason: &'static str) {
        self.kept.get_or_create(&[("reason", reason)]).inc();
    }

    /// Counts the agents of a round, with the value of the label `reply` for each number.
    pub fn count_replies(&self, counts: &[(&'static str, usize)]) {
        for (reply, count) in counts {
            let replies = self.round_replies.get_or_create(&[("reply", *reply)]);
            replies.inc_by(*count as u64);
        }
    }

    /// Registers the metrics, to be called once per process.
    pub fn register(&self, metrics: &Metrics) {
        let help = "Opening segments sent to agents";
        metrics.register("flows_placed", help, self.placed.clone());
        let help = "Agents that did not answer an opening in time";
        metrics.register("agents_silent", help, self.silent.clone());
        let help = "Openings dropped as another balancer may have placed a later copy";
        metrics.register("openings_dropped", help, self.openings_dropped.clone());
        let help = "Agents that refused an opening";
        metrics.register("agents_refused", help, self.refused.clone());
        let help = "Searches for the owner of a flow, by their end";
        metrics.register("flow_searches", help, self.searched.clone());
        let help = "Searches that were kept as they could not be decided";
        metrics.register("flow_searches_kept", help, self.kept.clone());
        let help = "Trial deliveries of one segment to all agents that may hold its flow";
        metrics.register("trial_deliveries", help, self.trials.clone());
        let help = "Segments sent to agents on trial";
        metrics.register("trial_segments", help, self.trial_segments.clone());
        let help = "Segments that agents returned as their servers do not hold the flows";
        metrics.register("segments_returned", help, self.returned.clone());
        let help = "Agents in the rounds of searches, by their replies";
        metrics.register("round_agents", help, self.round_replies.clone());
        let help = "Agents that are queried because they left a search without an answer";
        metrics.register("silent_agents", help, self.silent_agents.clone());
        let help = "Silent agents that came to count as absent";
        metrics.register("absent_agents", help, self.absent_agents.clone());
        let help = "Flows whose callers were sent a reset";
        metrics.register("flows_reset", help, self.reset.clone());
        let help = "Reports of readiness before all members were fetched";
        metrics.register("ready_before_join", help, self.ready_before_join.clone());
        register_evacuated(metrics, &self.evacuated);
    }
}

/// Metrics of an agent.
#[derive(Clone, Debug)]
pub struct AgentMetrics {
    /// Requests that reached the backend server.
    pub requests: Counter,
    /// Answers that report a failure, and flows that the backend server aborted.
    pub failures: Counter,
    /// New flows that had to wait until the backend server could queue a request.
    pub waited: Counter,
    /// New and waiting flows that were refused because the failure domain is evacuated.
    pub evacuation_refusals: Counter,
    /// New flows that were refused because the cold backend server gets as many as it handles.
    pub cold_refusals: Counter,
    /// Times from a request to the first byte of its answer, in seconds.
    pub answer_times: Histogram,
    /// Failure domains that are evacuated.
    pub evacuated: Gauge,
    /// Requests on open flows that were held at the agent, by the priority of their route.
    pub held: CounterFamily,
    /// Times for which requests were held, in seconds.
    pub held_times: Histogram,
    /// Requests that were delivered without room because a bound of held requests was reached.
    pub passed_by_bound: Counter,
    /// Restarts of homes, upon which flows are registered there again.
    pub home_restarts: Counter,
    /// Flows that were registered again with a home, as it had restarted or this agent stops.
    pub registered_again: Counter,
    /// Flows from before the agent's start that their homes have named.
    pub prior_flows: Counter,
}

/// Label values of priorities; the last one stands for all below it.
const PRIORITIES: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7+"];

impl Default for AgentMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT);
        Self {
            requests: Counter::default(),
            failures: Counter::default(),
            waited: Counter::default(),
            evacuation_refusals: Counter::default(),
            cold_refusals: Counter::default(),
            answer_times: Histogram::new(buckets),
            evacuated: Gauge::default(),
            held: CounterFamily::default(),
            held_times: Histogram::new(exponential_buckets(
                FIRST_BUCKET_SECONDS,
                2.0,
                BUCKET_COUNT,
            )),
            passed_by_bound: Counter::default(),
            home_restarts: Counter::default(),
            registered_again: Counter::default(),
            prior_flows: Counter::default(),
        }
    }
}

impl AgentMetrics {
    /// Sets the number of evacuated failure domains.
    pub fn set_evacuated(&self, directives: &Directives) {
        self.evacuated.set(directives.evacuated.len() as i64);
    }

    /// Counts a held request under the priority of its route.
    pub fn count_held(&self, priority: u8) {
        let index = usize::from(priority).min(PRIORITIES.len() - 1);
        let label = [("priority", PRIORITIES[index])];
        self.held.get_or_create(&label).inc();
    }

    /// Registers the metrics, to be called once per process.
    pub fn register(&self, metrics: &Metrics) {
        let help = "Requests that reached the backend server";
        metrics.register("server_requests", help, self.requests.clone());
        let help = "Failures of the backend server";
        metrics.register("server_failures", help, self.failures.clone());
        let help = "New flows that had to wait for a slot";
        metrics.register("flows_waited", help, self.waited.clone());
        let help = "New flows refused because the failure domain is evacuated";
        metrics.register(
            "evacuation_refusals",
            help,
            self.evacuation_refusals.clone(),
        );
        let help = "New flows refused because the server is cold";
        metrics.register("cold_refusals", help, self.cold_refusals.clone());
        let help = "Time from a request to the first byte of its answer";
        metrics.register("answer_seconds", help, self.answer_times.clone());
        register_evacuated(metrics, &self.evacuated);
        let help = "Requests on open flows that were held at the agent";
        metrics.register("requests_held", help, self.held.clone());
        let help = "Time for which a request was held at the agent";
        metrics.register("held_seconds", help, self.held_times.clone());
        let help = "Requests that passed because a bound of held requests was reached";
        metrics.register("requests_passed", help, self.passed_by_bound.clone());
        let help = "Restarts of homes of flows";
        metrics.register("home_restarts", help, self.home_restarts.clone());
        let help = "Flows registered again with a home that restarted, or before a stop";
        metrics.register(
            "flows_registered_again",
            help,
            self.registered_again.clone(),
        );
    }
}

fn register_evacuated(metrics: &Metrics, evacuated: &Gauge) {
    let help = "Failure domains that are evacuated";
    metrics.register("directives_evacuated", help, evacuated.clone());
}
