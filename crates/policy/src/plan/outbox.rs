use super::message::{Kind, Order};
use shallotflow_core::graph::Task;
use std::collections::VecDeque;

/// Bytes of the orders in one reply, and of the starts that an agent has not received before it gets no
/// more: 50 ms on the slowest links of entries, 10 Mbit/s. What exceeds it follows with the next replies.
pub(super) const MAX_BYTES: usize = 64 * 1024;
/// Bytes of an order beside its texts.
const ORDER_BYTES: usize = 96;

/// The orders that an agent has not received, the earliest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    orders: VecDeque<Order>,
    bytes: usize,
}

/// Returns about how many bytes an order has in a reply.
fn size(order: &Order) -> usize {
    let texts = match &order.kind {
        Kind::Start { text, checkpoint, traits } => {
            let names = [checkpoint, &traits.image].into_iter().flatten();
            text.len() + names.map(|name| name.len()).sum::<usize>()
        }
        Kind::Stop => 0,
    };
    ORDER_BYTES + texts
}

impl Outbox {
    /// Adds an order.
    pub(super) fn push(&mut self, order: Order) {
        self.bytes += size(&order);
        self.orders.push_back(order);
    }

    /// Removes the orders up to `received`.
    pub(super) fn confirm(&mut self, received: u64) {
        while self.orders.front().is_some_and(|order| order.number <= received) {
            let order = self.orders.pop_front();
            self.bytes -= order.as_ref().map_or(0, size);
        }
    }

    /// Removes all orders.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Removes the orders to start; returns their runs.
    pub(super) fn take_starts(&mut self) -> Vec<(Task, u32)> {
        let is_start = |order: &&Order| order.kind != Kind::Stop;
        let starts = self.orders.iter().filter(is_start).map(|order| (order.task, order.run));
        let starts = starts.collect();
        self.orders.retain(|order| order.kind == Kind::Stop);
        self.bytes = self.orders.iter().map(size).sum();
        starts
    }

    /// Returns the first orders, as many as one reply carries, and one at least.
    pub(super) fn part(&self) -> Vec<Order> {
        let mut bytes = 0;
        let fits = |order: &&Order| {
            let first = bytes == 0;
            bytes += size(order);
            first || bytes <= MAX_BYTES
        };
        self.orders.iter().take_while(fits).cloned().collect()
    }

    /// Returns whether there is no order.
    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the bytes of the orders.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether it holds an order to stop the run.
    pub(super) fn stops(&self, task: Task, run: u32) -> bool {
        self.orders
            .iter()
            .any(|order| order.task == task && order.run == run && order.kind == Kind::Stop)
    }
}

/// Returns about how many bytes the start of a task has whose job has this text.
pub(super) fn start_size(text: &str) -> usize {
    ORDER_BYTES + text.len()
}
