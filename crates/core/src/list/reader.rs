use super::Received;

/// Collects the rows of a list, in the order of the sender.
#[derive(Debug)]
pub struct Reader<T> {
    rows: Vec<T>,
    first_gap: Option<usize>,
}

impl<T> Default for Reader<T> {
    fn default() -> Self {
        Self { rows: Vec::new(), first_gap: None }
    }
}

impl<T> Reader<T> {
    /// Adds the next row; `None` is a row that the sender has listed and that cannot be read.
    pub fn push(&mut self, row: Option<T>) {
        match row {
            Some(row) => self.rows.push(row),
            None => {
                self.first_gap.get_or_insert(self.rows.len());
            }
        }
    }

    /// The last row that could be read.
    pub fn last(&self) -> Option<&T> {
        self.rows.last()
    }

    /// Ends the list; `has_more` is whether the sender may have further rows, as far as it says.
    pub fn finish(self, has_more: bool) -> Received<T> {
        Received { rows: self.rows, first_gap: self.first_gap, has_more }
    }
}

impl<T> Extend<Option<T>> for Reader<T> {
    fn extend<I: IntoIterator<Item = Option<T>>>(&mut self, rows: I) {
        rows.into_iter().for_each(|row| self.push(row));
    }
}
