//! A ring buffer of bytes, one for each direction of a connection.

/// A bounded ring buffer. Its memory is allocated when the first byte is added, so that unused connections need none.
pub struct RingBuffer {
    bytes: Vec<u8>,
    max: usize,
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// Creates a buffer for up to `max` bytes.
    pub fn new(max: usize) -> Self {
        RingBuffer {
            bytes: Vec::new(),
            max: max.max(1),
            head: 0,
            len: 0,
        }
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Frees the memory of an empty buffer, so that idle connections need none.
    pub fn release(&mut self) {
        if self.len == 0 {
            self.bytes = Vec::new();
            self.head = 0;
        }
    }

    /// Returns the number of bytes that can be added.
    pub fn free_bytes(&self) -> usize {
        self.max - self.len
    }

    /// Returns the longest contiguous run of buffered bytes from the front.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Removes bytes from the front.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + n) % self.max
        };
    }

    /// Returns the contiguous free space behind the buffered bytes.
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

    /// Adds as many bytes as fit, and returns their number.
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

    /// Reads into the free space with one call of `read`. Returns the number of bytes; 0 at the end of the stream, and
    /// if the buffer is full.
    ///
    /// # Errors
    /// Returns the error of `read`.
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

    /// Passes bytes from the front to one call of `write`, and removes those that it accepts. Returns their number.
    ///
    /// # Errors
    /// Returns the error of `write`.
    pub fn drain<E>(&mut self, write: impl FnOnce(&[u8]) -> Result<usize, E>) -> Result<usize, E> {
        let n = write(self.front())?;
        self.consume(n);
        Ok(n)
    }
}
