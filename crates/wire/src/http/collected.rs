use bytes::Bytes;

/// Size of the blocks, bytes.
const BLOCK_BYTES: usize = 16 * 1024;

/// The bytes of a body that were received so far.
///
/// Blocks of one size can be used again by any other connection. One growing buffer for each connection would
/// leave gaps behind that are too small for the buffers of connections that grow at the same time.
#[derive(Default)]
pub(super) struct Collected {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl Collected {
    pub(super) fn push(&mut self, mut piece: &[u8]) {
        self.length += piece.len();
        while !piece.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == BLOCK_BYTES) {
                // The only block of a small body grows as far as needed.
                let capacity = if self.blocks.is_empty() { 0 } else { BLOCK_BYTES };
                self.blocks.push(Vec::with_capacity(capacity));
            }
            let Some(block) = self.blocks.last_mut() else { return };
            let (head, rest) = piece.split_at(piece.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(head);
            piece = rest;
        }
    }

    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Returns the bytes in use, also those that are not filled yet.
    pub(super) fn held(&self) -> usize {
        let first = self.blocks.first().map_or(0, Vec::capacity);
        first + self.blocks.len().saturating_sub(1) * BLOCK_BYTES
    }

    pub(super) fn into_bytes(mut self) -> Bytes {
        match self.blocks.len() {
            0 | 1 => self.blocks.pop().unwrap_or_default().into(),
            _ => self.blocks.concat().into(),
        }
    }
}
