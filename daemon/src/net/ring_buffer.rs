//! A ring buffer of bytes: one for each direction of a connection.

/// A bounded ring of bytes. Memory is taken with the first byte, so a connection that never speaks costs none.
pub struct RingBuffer {
    bytes: Vec<u8>,
    max: usize,
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// A ring for so many bytes at most.
    pub fn new(max: usize) -> Self {
        RingBuffer {
            bytes: Vec::new(),
            max: max.max(1),
            head: 0,
            len: 0,
        }
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Gives back the memory of an empty ring: connections that have gone quiet must not add up.
    pub fn release(&mut self) {
        if self.len == 0 {
            self.bytes = Vec::new();
            self.head = 0;
        }
    }

    /// Bytes that still fit.
    pub fn free_bytes(&self) -> usize {
        self.max - self.len
    }

    /// The longest run of held bytes from the front.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops bytes from the front.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + n) % self.max
        };
    }

    /// The free run behind the held bytes.
    fn gap(&mut self) -> &mut [u8] {
        if self.bytes.is_empty() {
            self.bytes = vec![0; self.max];
        }
        let tail = (self.head + self.len) % self.max;
        let end = if self.len > 0 && tail <= self.head {
            self.head
        } else {
            self.max
        };
        &mut self.bytes[tail..end]
    }

    /// Takes in as many bytes as fit; tells how many.
    pub fn push(&mut self, mut bytes: &[u8]) -> usize {
        let before = self.len;
        while !bytes.is_empty() && self.free_bytes() > 0 {
            let gap = self.gap();
            let n = gap.len().min(bytes.len());
            gap[..n].copy_from_slice(&bytes[..n]);
            self.len += n;
            bytes = &bytes[n..];
        }
        self.len - before
    }

    /// Has the free part filled once; 0 where the other side has ended or nothing fits.
    ///
    /// # Errors
    /// Those of `read`.
    pub fn fill<E>(
        &mut self,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Result<usize, E> {
        if self.free_bytes() == 0 {
            return Ok(0);
        }
        let n = read(self.gap())?;
        self.len += n;
        Ok(n)
    }

    /// Has bytes from the front taken once.
    ///
    /// # Errors
    /// Those of `write`.
    pub fn drain<E>(&mut self, write: impl FnOnce(&[u8]) -> Result<usize, E>) -> Result<usize, E> {
        let n = write(self.front())?;
        self.consume(n);
        Ok(n)
    }
}
