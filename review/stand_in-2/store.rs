//! The stand-in for the platform's metadata store: objects with revisions, lists, watches and conditional writes.

use crate::http::{Connection, Head};
use crate::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// All changes: the revision, the kind, and the event as JSON.
    history: Vec<(u64, String, String)>,
}

impl State {
    fn change(&mut self, kind: &str, name: &str, object: Object, is_gone: bool) {
        self.revision += 1;
        let revision = self.revision;
        let created = if object.created == 0 { revision } else { object.created };
        let object = Object { revision, created, ..object };
        let event = format!("{{\"gone\":{is_gone},\"object\":{}}}", text_of(name, &object));
        self.history.push((revision, kind.to_owned(), event));
        let key = (kind.to_owned(), name.to_owned());
        if is_gone {
            self.objects.remove(&key);
        } else {
            self.objects.insert(key, object);
        }
    }
}

fn text_of(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

/// In the content of an object, stands for a byte that is no UTF-8.
pub const UNREADABLE: char = '\u{f8ff}';

fn with_unreadable_bytes(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len());
    for (number, part) in text.split(UNREADABLE).enumerate() {
        bytes.extend((number > 0).then_some(0xff));
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes
}

/// The store; a clone serves the same objects.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves at an address until the process ends.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.state;
        let object = Object { spec: spec.to_owned(), status: "null".to_owned(), ..Object::default() };
        state.lock().unwrap().change(kind, name, object, false);
        changed.notify_all();
    }

    /// The content of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|object| object.spec.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let mut body = Vec::new();
            if connection.read_body(&head, |piece| body.extend_from_slice(piece)).is_err() {
                return;
            }
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let body = with_unreadable_bytes(&text);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.write(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let mut words = head.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parts: Vec<&str> = path.trim_start_matches("/v1/objects/").split('/').collect();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match (method, parts.as_slice()) {
            ("GET", [kind]) => match number("watch") {
                Some(since) => self.watch(kind, since, number("wait_ms").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", [kind, name]) => self.read(kind, name),
            ("POST", [kind]) => self.create(kind, body),
            ("PUT", [kind, name]) => self.replace(kind, name, body, false),
            ("PUT", [kind, name, "status"]) => self.replace(kind, name, body, true),
            ("DELETE", [kind, name]) => self.delete(kind, name),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<String> = objects.map(|((_, name), object)| text_of(name, object)).collect();
        let (items, at) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
    }

    fn read(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or((404, "{}".to_owned()), |object| (200, text_of(name, object)))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let (state, changed) = &*self.state;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = state.lock().unwrap();
        loop {
            let later = state.history.iter().filter(|(revision, known, _)| *revision > since && known == kind);
            let events: Vec<&str> = later.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let Some(name) = json::string_field(metadata, "name") else { return (400, "{}".to_owned()) };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if let Some(known) = state.objects.get(&(kind.to_owned(), name.clone())) {
            return (409, text_of(&name, known));
        }
        let spec = json::field(body, "spec").unwrap_or("null").to_owned();
        state.change(kind, &name, Object { spec, status: "null".to_owned(), ..Object::default() }, false);
        changed.notify_all();
        let object = &state.objects[&(kind.to_owned(), name.clone())];
        (200, text_of(&name, object))
    }

    fn replace(&self, kind: &str, name: &str, body: &str, is_status: bool) -> (u16, String) {
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let wanted = json::number_field(metadata, "revision");
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = state.objects.get(&key).cloned() else { return (404, "{}".to_owned()) };
        if wanted.is_some_and(|revision| revision != known.revision) {
            return (409, text_of(name, &known));
        }
        let mut object = known.clone();
        if is_status {
            object.status = json::field(body, "status").unwrap_or("null").to_owned();
        } else {
            object.spec = json::field(body, "spec").unwrap_or("null").to_owned();
        }
        // A write that changes nothing raises no revision.
        if object.spec != known.spec || object.status != known.status {
            state.change(kind, name, object, false);
            changed.notify_all();
        }
        (200, text_of(name, &state.objects[&key]))
    }

    fn delete(&self, kind: &str, name: &str) -> (u16, String) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned() else {
            return (404, "{}".to_owned());
        };
        state.change(kind, name, known, true);
        changed.notify_all();
        (200, "{}".to_owned())
    }
}
