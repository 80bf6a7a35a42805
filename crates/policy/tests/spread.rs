//! Distribution of the configuration under lost and reordered messages, restarts and store
//! outages.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_policy::injected::{self, Fault};
use shallotflow_policy::spread::{Decision, Patch, State};

const ENTRIES: usize = 3;
const AGENTS: usize = 4;

/// Report of an agent to an entry.
#[derive(Clone, Debug)]
struct Report {
    agent: usize,
    entry: usize,
    revision: u64,
    text: Option<String>,
}

/// One step of the simulation; indices are taken modulo the number of items.
#[derive(Clone, Debug)]
enum Step {
    /// The operator writes a text, which may be invalid.
    Write { valid: bool },
    /// The store becomes available or unavailable.
    Store { up: bool },
    /// An entry reads the store, if it is up.
    Watch(usize),
    /// An agent sends a report, which stays in the network.
    Send(usize, usize),
    /// A report in the network is delivered, in any order.
    Deliver(usize),
    /// A report in the network is lost.
    Lose(usize),
    /// An agent fetches an update from an entry, if it needs one.
    Fetch(usize, usize),
    /// An entry restarts without state.
    RestartEntry(usize),
    /// An agent restarts without state.
    RestartAgent(usize),
}

/// State of an entry whose history holds about five of the texts that this test writes.
fn entry_state() -> State {
    State::with_history(150)
}

#[derive(Default)]
struct World {
    store_down: bool,
    /// All texts written so far; a text's revision is its index plus one.
    written: Vec<String>,
    entries: [State; ENTRIES],
    agents: [State; AGENTS],
    /// For each agent, whether each entry has requested its text.
    text_requested: [[bool; ENTRIES]; AGENTS],
    network: Vec<Report>,
}

impl World {
    fn run(&mut self, step: &Step) {
        match *step {
            Step::Write { valid: true } => {
                self.written.push(format!("[defaults]\nwatch_cap = {}\n", self.written.len()));
            }
            Step::Write { valid: false } => self.written.push("[default]\n".to_owned()),
            Step::Store { up } => self.store_down = !up,
            Step::Watch(entry) => self.watch(entry % ENTRIES),
            Step::Send(agent, entry) => self.send(agent % AGENTS, entry % ENTRIES),
            Step::Deliver(index) => self.deliver(index),
            Step::Lose(index) => {
                if !self.network.is_empty() {
                    self.network.swap_remove(index % self.network.len());
                }
            }
            Step::Fetch(agent, entry) => self.fetch(agent % AGENTS, entry % ENTRIES),
            Step::RestartEntry(entry) => self.entries[entry % ENTRIES] = entry_state(),
            Step::RestartAgent(agent) => self.agents[agent % AGENTS] = State::default(),
        }
    }

    fn watch(&mut self, entry: usize) {
        if let (false, Some(text)) = (self.store_down, self.written.last()) {
            self.entries[entry].offer(self.written.len() as u64, text);
        }
    }

    fn send(&mut self, agent: usize, entry: usize) {
        let state = &self.agents[agent];
        let text = self.text_requested[agent][entry].then(|| state.text().to_string());
        let revision = state.revision();
        self.network.push(Report { agent, entry, revision, text });
    }

    fn deliver(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let report = self.network.swap_remove(index % self.network.len());
        let entry = &mut self.entries[report.entry];
        entry.observe_revision(report.revision);
        if let Some(text) = &report.text {
            entry.offer(report.revision, text);
        }
        self.text_requested[report.agent][report.entry] = entry.needs_text_of(report.revision);
        let revision = entry.revision();
        self.agents[report.agent].observe_revision(revision);
    }

    fn fetch(&mut self, agent: usize, entry: usize) {
        if self.agents[agent].needs_update() {
            let update = self.entries[entry].update_from(self.agents[agent].revision());
            self.agents[agent].apply_update(&update);
        }
    }

    fn states(&self) -> impl Iterator<Item = &State> {
        self.entries.iter().chain(&self.agents)
    }

    /// Delivers every message, for enough rounds that all processes converge.
    fn settle(&mut self) {
        self.network.clear();
        for _ in 0..3 {
            for agent in 0..AGENTS {
                for entry in 0..ENTRIES {
                    self.send(agent, entry);
                    self.deliver(0);
                    self.fetch(agent, entry);
                }
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let index = || 0..12_usize;
    prop_oneof![
        1 => Just(Step::Write { valid: true }),
        1 => Just(Step::Write { valid: false }),
        1 => any::<bool>().prop_map(|up| Step::Store { up }),
        3 => index().prop_map(Step::Watch),
        6 => (index(), index()).prop_map(|(agent, entry)| Step::Send(agent, entry)),
        6 => index().prop_map(Step::Deliver),
        1 => index().prop_map(Step::Lose),
        3 => (index(), index()).prop_map(|(agent, entry)| Step::Fetch(agent, entry)),
        1 => index().prop_map(Step::RestartEntry),
        1 => index().prop_map(Step::RestartAgent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11), failure_persistence: None, cases: 256, ..Default::default()
    })]

    #[test]
    fn the_revision_in_force_never_decreases(steps in proptest::collection::vec(step(), 1..200)) {
        check_steps(&steps)?;
    }

    #[test]
    fn a_patch_turns_the_old_text_into_the_new_one(old in "[aé€\n]{0,12}", new in "[aé€\n]{0,12}") {
        let patch = Patch::between(1, &old, &new);
        prop_assert_eq!(patch.apply(&old), Some(new));
    }

    #[test]
    fn a_patch_of_another_text_never_panics(
        old in "[aé€]{0,9}", prefix_bytes in 0..30_u32, suffix_bytes in 0..30_u32,
    ) {
        let patch = Patch { base: 1, prefix_bytes, suffix_bytes, middle: "é".into() };
        let fits = prefix_bytes as usize + suffix_bytes as usize <= old.len();
        prop_assert!(fits || patch.apply(&old).is_none());
    }
}

/// Checks that no step lowers a revision and that the processes converge.
fn check_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World { entries: [(); ENTRIES].map(|()| entry_state()), ..World::default() };
    for step in steps {
        let before: Vec<u64> = world.states().map(State::revision).collect();
        world.run(step);
        for (index, state) in world.states().enumerate() {
            let restarted = match *step {
                Step::RestartEntry(entry) => index == entry % ENTRIES,
                Step::RestartAgent(agent) => index == ENTRIES + agent % AGENTS,
                _ => false,
            };
            prop_assert!(restarted || state.revision() >= before[index], "{step:?}");
            let written = state.revision().checked_sub(1).map(|at| &*world.written[at as usize]);
            prop_assert_eq!(&**state.text(), written.unwrap_or_default());
        }
    }
    // With the store unavailable, the processes converge on the highest revision among them.
    world.store_down = true;
    let highest = world.states().map(State::revision).max().unwrap_or_default();
    world.settle();
    for state in world.states() {
        prop_assert_eq!(state.revision(), highest);
    }
    Ok(())
}

#[test]
fn the_check_detects_an_injected_lower_revision() {
    let steps = [
        Step::Write { valid: true },
        Step::Watch(0),
        Step::Send(0, 0),
        Step::Deliver(0),
        Step::Fetch(0, 0),
        Step::Send(0, 2),
        Step::Deliver(0),
        // The text of the first revision is in flight while the second one comes into force.
        Step::Send(0, 2),
        Step::Write { valid: true },
        Step::Watch(2),
        Step::Deliver(0),
    ];
    check_steps(&steps).expect("revisions never decrease");
    injected::with(Fault::RevisionRollback, || check_steps(&steps))
        .expect_err("a revision that decreases");
}

#[test]
fn a_refused_text_leaves_the_last_valid_one_in_force_and_is_not_fetched_again() {
    let mut state = State::default();
    assert_eq!(state.offer(3, "[defaults]\nbatch = false\n"), Decision::InForce);
    let Decision::Refused(refusal) = state.offer(5, "[defaults]\nbatch = no\n") else {
        panic!("an invalid text was not refused");
    };
    assert!(refusal.to_string().contains("fleet.ini:2: `no` is not `true` or `false`"));
    assert!(!state.config().defaults.batch);
    assert_eq!((state.revision(), state.needs_update()), (3, false));
    assert_eq!(state.offer(4, "[defaults]\nbatch = true\n"), Decision::InForce);
    assert!(state.refusal().is_some(), "revision 5 is still refused");
    state.observe_revision(6);
    assert!(state.needs_update());
    assert_eq!(state.offer(6, ""), Decision::InForce);
    assert_eq!(state.refusal(), None);
    assert_eq!(state.offer(6, "[defaults]\nbatch = false\n"), Decision::NotNewer);
}
