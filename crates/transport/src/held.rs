//! Bytes that are held for a caller, with the memory that is reserved for them.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;

use crate::{
    MemoryAccount, Refusal,
    activity::{Activity, BodyProgress},
    connection::ConnectionState,
    memory::{Reservation, Shortage},
    open_connections::OpenConnections,
};

/// Bytes of a body that are counted with its connection, so that a small body is never refused.
pub(crate) const FREE_BYTES: usize = 16 << 10;

/// The memory from which the bytes of one connection are taken.
#[derive(Clone, Default)]
pub struct CallerMemory {
    /// `None` for a request that was not received over a connection.
    connection: Option<(Rc<OpenConnections>, Rc<ConnectionState>)>,
}

impl CallerMemory {
    pub(crate) fn new(
        connections: Rc<OpenConnections>,
        state: Rc<ConnectionState>,
    ) -> CallerMemory {
        CallerMemory { connection: Some((connections, state)) }
    }

    /// Creates an empty buffer that can take up to `max_bytes`.
    pub fn buffer(&self, max_bytes: usize) -> HeldBuffer {
        let reservation = self.account().and_then(|account| {
            let peer = self.activity()?.peer;
            account.reserve(peer, 0)
        });
        HeldBuffer {
            bytes: Vec::new(),
            max_bytes,
            is_exact: false,
            reservation,
            memory: self.clone(),
        }
    }

    /// Creates an empty buffer for `bytes` that will arrive for certain. The memory for all of them
    /// is reserved at once, since buffers that each have a part of theirs would wait for one
    /// another.
    pub fn exact_buffer(&self, bytes: usize) -> HeldBuffer {
        HeldBuffer { is_exact: true, ..self.buffer(bytes) }
    }

    pub(crate) fn activity(&self) -> Option<&Activity> {
        self.connection.as_ref().map(|(_, state)| &state.activity)
    }

    /// Records that a body of `expected` bytes is read, until the guard is dropped.
    pub(crate) fn begin_body(&self, expected: usize) -> BodyGuard<'_> {
        if let Some(activity) = self.activity() {
            activity.set_body(Some(BodyProgress { received: 0, expected }));
        }
        BodyGuard { memory: self }
    }

    /// Counts a body that was refused because there was no memory for it.
    pub(crate) fn record_refused_body(&self) {
        if let Some((connections, state)) = &self.connection {
            connections.refuse_body(state.id(), Refusal::Memory);
        }
    }

    fn account(&self) -> Option<&Arc<MemoryAccount>> {
        self.connection.as_ref().map(|(connections, _)| &connections.account)
    }

    async fn make_room(&self, shortage: Shortage) -> bool {
        let Some((connections, state)) = &self.connection else { return false };
        connections.make_memory(state.id(), shortage).await
    }

    async fn wait(&self) {
        if let Some((connections, _)) = &self.connection {
            connections.wait_for_memory().await;
        }
    }
}

/// Marks a connection as one whose body is being read.
pub(crate) struct BodyGuard<'a> {
    memory: &'a CallerMemory,
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        if let Some(activity) = self.memory.activity() {
            activity.set_body(None);
        }
    }
}

/// A buffer for a body. It grows as bytes arrive, and reserves the memory before it grows.
pub struct HeldBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    is_exact: bool,
    reservation: Option<Reservation>,
    memory: CallerMemory,
}

impl HeldBuffer {
    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for `more` bytes, for which others may have to end. Returns `false` if there is
    /// none.
    pub(crate) async fn reserve(&mut self, more: usize) -> bool {
        while let Err(shortage) = self.try_reserve(more) {
            if !self.memory.make_room(shortage).await {
                return false;
            }
        }
        true
    }

    /// Appends `data`, for which there must be room.
    pub(crate) fn extend(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        if let Some(activity) = self.memory.activity()
            && let Some(body) = activity.body()
        {
            activity.set_body(Some(BodyProgress { received: self.bytes.len(), ..body }));
        }
    }

    /// Appends `data` if there is memory for it.
    pub fn try_extend(&mut self, data: &[u8]) -> bool {
        self.append(data).is_ok()
    }

    /// Appends `data`, and waits for memory if there is none.
    pub async fn extend_when_free(&mut self, data: &[u8]) {
        while let Err(shortage) = self.append(data) {
            if !self.memory.make_room(shortage).await {
                self.memory.wait().await;
            }
        }
    }

    /// The bytes, with their reservation, which ends when the last copy of them is dropped.
    pub fn freeze(self) -> Bytes {
        match self.reservation {
            Some(reservation) if reservation.bytes() > 0 => {
                Bytes::from_owner(HeldBytes { bytes: self.bytes, _reservation: reservation })
            }
            _ => Bytes::from(self.bytes),
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), Shortage> {
        self.try_reserve(data.len())?;
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn try_reserve(&mut self, more: usize) -> Result<(), Shortage> {
        let needed = self.bytes.len().saturating_add(more);
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let doubled = self.bytes.capacity().saturating_mul(2);
        let target = if self.is_exact { self.max_bytes } else { doubled };
        let capacity = target.min(self.max_bytes).max(needed);
        if let Some(reservation) = &mut self.reservation {
            let counted = capacity.saturating_sub(FREE_BYTES);
            reservation.grow(counted.saturating_sub(reservation.bytes()))?;
            if let Some(activity) = self.memory.activity()
                && reservation.bytes() > 0
            {
                activity.set_reserved(true);
            }
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

struct HeldBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
