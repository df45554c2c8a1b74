//! A worker: a process of its own, which logs what arrives and what it runs.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Message, Reader, answer},
    record::now_ms,
};

/// The length of an answer's body, in bytes.
pub const BODY_BYTES: usize = 800;

/// The last bytes of every whole answer.
pub const BODY_END: &str = "-the-end";

/// How a worker sends its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// With a length.
    Framed,
    /// Without a length; the answer ends with its connection.
    Unframed,
}

/// The work for a request.
const WORK: Duration = Duration::from_millis(30);

/// The time between the halves of an unframed answer.
const HALF: Duration = Duration::from_millis(400);

/// Runs a worker that never ends. `log` gets a line for each event.
pub fn run(address: SocketAddr, id: &str, log: &str, form: Form) {
    let file = OpenOptions::new().create(true).append(true).open(log);
    let file = Arc::new(Mutex::new(file.expect("the log can be written")));
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let worker = Worker { id: id.to_string(), file: file.clone(), form };
        thread::spawn(move || worker.serve(stream));
    }
}

struct Worker {
    id: String,
    file: Arc<Mutex<File>>,
    form: Form,
}

impl Worker {
    fn log(&self, what: &str, request: &Message) {
        let attempt = request.header("attempt-id").unwrap_or("-");
        let tenant = request.header("tenant").unwrap_or("-");
        let line = format!(
            "{} {what} request={attempt} worker={} tenant={tenant} path={}\n",
            now_ms(),
            self.id,
            request.second_word()
        );
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.message(false) {
            if self.handle(&mut stream, &request).is_err() {
                return;
            }
            let is_health = request.second_word() == "/healthz";
            if self.form == Form::Unframed && !is_health {
                return;
            }
        }
    }

    fn handle(
        &self,
        stream: &mut TcpStream,
        request: &Message,
    ) -> std::io::Result<()> {
        if request.second_word() == "/healthz" {
            let headers = [("Instance-Id", self.id.as_str())];
            return answer(stream, "200 OK", &headers, b"");
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_string();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.log("misdirected", request);
            let headers = [
                ("Attempt-Id", attempt.as_str()),
                ("Instance-Id", self.id.as_str()),
                ("Not-Executed", "1"),
            ];
            let status = "421 Misdirected Request";
            return answer(stream, status, &headers, b"");
        }
        self.log("runs", request);
        thread::sleep(WORK);
        let mut body = format!("worker {} request {attempt} ", self.id);
        while body.len() < BODY_BYTES - BODY_END.len() {
            body.push('.');
        }
        body.push_str(BODY_END);
        let seal = format!("seal.{}.{attempt}", self.id);
        let headers =
            [("Attempt-Id", attempt.as_str()), ("Server-Seal", &seal)];
        match self.form {
            Form::Framed => {
                answer(stream, "200 OK", &headers, body.as_bytes())?;
            }
            Form::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n\
                     Server-Seal: {seal}\r\nConnection: close\r\n\r\n"
                );
                let (first, second) = body.split_at(BODY_BYTES / 2);
                stream.write_all(head.as_bytes())?;
                stream.write_all(first.as_bytes())?;
                thread::sleep(HALF);
                stream.write_all(second.as_bytes())?;
            }
        }
        self.log("answered", request);
        Ok(())
    }
}
