use super::load::Load;
use shallotflow_core::graph::Step;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// Maximum number of entries of each kind: beyond it, demands are tried again in each pass.
const MAX_ENTRIES: usize = 16;

/// A demand that no worker has room for.
#[derive(Clone, Debug)]
struct Full {
    service: Name,
    label: Option<Name>,
    need: Bundle,
}

/// A best-effort task that would disturb serving tasks wherever there is room for it.
#[derive(Clone, Debug)]
struct Disturbing {
    service: Name,
    label: Option<Name>,
    image: Option<Name>,
    millicores: u32,
}

/// Demands that could not be placed, so that a pass does not search the workers again for each
/// waiting job: what needs as much or more cannot be placed either.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    full: Vec<Full>,
    disturbing: Vec<Disturbing>,
}

impl Refusals {
    /// Forgets all refusals.
    pub(super) fn clear(&mut self) {
        self.full.clear();
        self.disturbing.clear();
    }

    /// Forgets the refusals of demands for which a worker now has room.
    pub(super) fn retain_without_room(&mut self, load: &Load, capacity: &Bundle) {
        self.full.retain(|full| !load.has_room(capacity, &full.need));
    }

    /// Records that no worker has room for `need` of `step`.
    pub(super) fn push_full(&mut self, service: &Name, step: &Step, need: Bundle) {
        if self.full.len() < MAX_ENTRIES {
            let label = step.required_label.clone();
            self.full.push(Full { service: service.clone(), label, need });
        }
    }

    /// Records that the best-effort tasks of `step` would disturb serving tasks everywhere.
    pub(super) fn push_disturbing(&mut self, service: &Name, step: &Step) {
        if self.disturbing.len() < MAX_ENTRIES {
            self.disturbing.push(Disturbing {
                service: service.clone(),
                label: step.required_label.clone(),
                image: step.image.clone(),
                millicores: step.need.millicores,
            });
        }
    }

    /// Returns whether no worker has room for `need` of `step`.
    pub(super) fn is_full(&self, service: &Name, step: &Step, need: &Bundle) -> bool {
        self.full.iter().any(|full| {
            need.holds(&full.need)
                && full.service == *service
                && (full.label.is_none() || full.label == step.required_label)
        })
    }

    /// Returns whether the best-effort tasks of `step` would disturb serving tasks everywhere.
    pub(super) fn is_disturbing(&self, service: &Name, step: &Step) -> bool {
        self.disturbing.iter().any(|known| {
            known.millicores <= step.need.millicores
                && known.image == step.image
                && known.service == *service
                && (known.label.is_none() || known.label == step.required_label)
        })
    }
}
