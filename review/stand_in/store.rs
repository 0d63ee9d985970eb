//! The platform's metadata store: objects with revisions, lists, watches, and writes with a condition.

use crate::http::{answer, Connection, Message};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Event {
    kind: String,
    revision: u64,
    text: String,
    gone: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store's objects, shared by its connections.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

/// The text of the value that a JSON object has under `key` at its top level.
pub fn json_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut index, mut is_in_text) = (0i32, 0, false);
    let marker = format!("\"{key}\"");
    let mut start = None;
    while index < bytes.len() {
        let byte = bytes[index];
        if is_in_text {
            match byte {
                b'\\' => index += 1,
                b'"' => is_in_text = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' => {
                    if depth == 1 && start.is_none() && text[index..].starts_with(&marker) {
                        let after = index + marker.len();
                        let rest = text[after..].trim_start();
                        if rest.starts_with(':') {
                            index = text.len() - rest.len();
                            start = Some(index + 1);
                            index += 1;
                            continue;
                        }
                    }
                    is_in_text = true;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' => {
                    depth -= 1;
                    if let Some(start) = start.filter(|_| depth == 0) {
                        return Some(text[start..index].trim());
                    }
                }
                b',' => {
                    if let Some(start) = start.filter(|_| depth == 1) {
                        return Some(text[start..index].trim());
                    }
                }
                _ => {}
            }
        }
        index += 1;
    }
    None
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn json_answer(status: &str, text: &str) -> Vec<u8> {
    answer(status, &[("Content-Type", "application/json")], text.as_bytes())
}

impl Store {
    /// Serves the store at an address until the process ends.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(false) {
            if connection.write(&self.respond(&request)).is_err() {
                return;
            }
        }
    }

    fn change(&self, state: &mut State, kind: &str, name: &str, apply: impl FnOnce(&mut Object)) -> String {
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let new = Object { revision, created: revision, spec: "null".to_owned(), status: "null".to_owned() };
        let object = state.objects.entry(key).or_insert(new);
        apply(object);
        object.revision = revision;
        let text = object_text(name, object);
        state.events.push(Event { kind: kind.to_owned(), revision, text: text.clone(), gone: false });
        self.state.1.notify_all();
        text
    }

    /// Writes an object without a condition, as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        self.change(&mut state, kind, name, |object| object.spec = spec.to_owned());
    }

    /// The text of an object's `spec` and `status`.
    pub fn get(&self, kind: &str, name: &str) -> Option<(String, String)> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|known| (known.spec.clone(), known.status.clone()))
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((known, name), _)| known == kind && name.as_str() > after);
        let items: Vec<String> = items.map(|((_, name), object)| object_text(name, object)).collect();
        json_answer(
            "200 OK",
            &format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), state.revision),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let newer = state.events.iter().filter(|event| event.kind == kind && event.revision > since);
            let events: Vec<String> =
                newer.map(|event| format!("{{\"gone\":{},\"object\":{}}}", event.gone, event.text)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return json_answer("200 OK", &text);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, is_status: bool, body: &str) -> Vec<u8> {
        let metadata = json_value(body, "metadata").unwrap_or("{}");
        let wanted = json_value(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        match (&known, method) {
            (Some(known), "POST") => return json_answer("409 Conflict", &object_text(name, known)),
            (None, "PUT") => return json_answer("404 Not Found", "{}"),
            (Some(known), _) if wanted.is_some_and(|wanted| wanted != known.revision) => {
                return json_answer("409 Conflict", &object_text(name, known));
            }
            _ => {}
        }
        let field = if is_status { "status" } else { "spec" };
        let value = json_value(body, field).unwrap_or("null").to_owned();
        let text = self.change(&mut state, kind, name, |object| {
            if is_status {
                object.status = value;
            } else {
                object.spec = value;
            }
        });
        json_answer("200 OK", &text)
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let method = request.word(0).to_owned();
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else { return json_answer("404 Not Found", "{}") };
        let parts: Vec<&str> = rest.split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match query_value(query, "watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = query_value(query, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => self.list(kind, query_value(query, "after").unwrap_or("")),
            },
            ("GET", [kind, name]) => {
                let state = self.state.0.lock().unwrap();
                let known = state.objects.get(&((*kind).to_owned(), (*name).to_owned()));
                known.map_or_else(
                    || json_answer("404 Not Found", "{}"),
                    |known| json_answer("200 OK", &object_text(name, known)),
                )
            }
            ("POST", [kind]) => {
                let metadata = json_value(&body, "metadata").unwrap_or("{}");
                let name = json_value(metadata, "name").unwrap_or("").trim_matches('"').to_owned();
                self.write("POST", kind, &name, false, &body)
            }
            ("PUT", [kind, name]) => self.write("PUT", kind, name, false, &body),
            ("PUT", [kind, name, "status"]) => self.write("PUT", kind, name, true, &body),
            _ => json_answer("404 Not Found", "{}"),
        }
    }
}
