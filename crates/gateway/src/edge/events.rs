//! Splits the bytes of a stream of server-sent events into single events.

use bytes::{Bytes, BytesMut};

/// The longest event, in bytes. An engine that sends more without the end of an event is considered faulty.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The most events in a row without data, such as comments. A comment each millisecond keeps a connection open for 10 s.
const MAX_EVENTS_WITHOUT_DATA: usize = 10_000;

/// One complete event of a stream of server-sent events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes as received, with the empty line at the end.
    pub raw: Bytes,
    /// The values of the event's `data` lines, joined by line feeds; `None` without a `data` line.
    pub data: Option<Vec<u8>>,
    /// The value of the event's last `id` line; `None` without an `id` line.
    pub id: Option<String>,
}

/// Buffers received bytes, and returns events once they are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The number of bytes at the buffer's start in which no event ends.
    searched_bytes: usize,
    /// The number of events without data since the last one with data, and of their bytes.
    without_data: (usize, usize),
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of bytes in the buffer. Once `next_event` returns `None`, the buffer holds the start of an
    /// incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds the start of an event that is longer than [`MAX_EVENT_BYTES`], or so many events without
    /// data have come that the engine is considered faulty.
    pub fn is_over_limit(&self) -> bool {
        let (events, bytes) = self.without_data;
        self.buffer.len() > MAX_EVENT_BYTES || bytes > MAX_EVENT_BYTES || events > MAX_EVENTS_WITHOUT_DATA
    }

    /// Removes the next complete event from the buffer and returns it; `None` while the buffer holds no complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        let event = parse_event(raw);
        let (events, bytes) = self.without_data;
        self.without_data = if event.data.is_some() { (0, 0) } else { (events + 1, bytes + end) };
        Some(event)
    }

    /// The index after the first empty line, which ends an event.
    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.searched_bytes.saturating_sub(3);
        for index in start..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let before = &self.buffer[..index];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

/// Reads the `data` and `id` lines of a complete event; other lines are ignored.
fn parse_event(raw: Bytes) -> Event {
    let mut data: Option<Vec<u8>> = None;
    let mut id = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"data") {
            let data = match data.as_mut() {
                Some(data) => {
                    data.push(b'\n');
                    data
                }
                None => data.insert(Vec::new()),
            };
            data.extend_from_slice(value);
        } else if let Some(value) = field_value(line, b"id") {
            id = Some(String::from_utf8_lossy(value).into_owned());
        }
    }
    Event { raw, data, id }
}

/// The value in a line of the field `name`, without the space after the colon; `None` for a line of another field.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
