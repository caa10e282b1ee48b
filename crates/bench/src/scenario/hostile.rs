//! Connections that send input which no process of the site, caller or operator
//! would send.

use {
    crate::{
        scenario::{HostileInput, HostileStep, Port, ScenarioError, runner::Runner},
        site::SITE_TOKEN,
    },
    futures_util::future::join_all,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Time limit for a process to close a hostile connection.
const REFUSED_WITHIN: Duration = Duration::from_secs(15);

/// Largest resident memory allowed to a process, in kilobytes.
const MAX_MEMORY_KILOBYTES: u64 = 256 * 1024;

/// Length that the header of a large frame announces, in bytes; far less is sent.
const ANNOUNCED_BYTES: u64 = 1 << 40;

/// Length of the garbage that one connection sends, in bytes.
const GARBAGE_BYTES: usize = 4_096;

/// A request that announces 1000 bytes of body and stops after a few.
const HALF_BODY: &str = "POST /v1/contracts/letters/jobs HTTP/1.1\r\nhost: x\r\n\
     authorization: Bearer token-of-letters\r\nidempotency-key: k\r\n\
     content-length: 1000\r\nconnection: close\r\n\r\n{\"tasks\":";

/// Bytes that a hostile connection sends.
struct HostileBytes {
    /// Sent as soon as the connection is open.
    head: Vec<u8>,
    /// Sent after the first answer; nothing is sent if empty.
    frame: Vec<u8>,
}

impl Runner {
    pub(super) async fn hostile(&mut self, step: &HostileStep) -> Result<(), ScenarioError> {
        let text = format!(
            "{} connections send {:?} to {:?} of {}",
            step.connections, step.send, step.port, step.at
        );
        self.write_line(format!("! {text}"));
        let address = self.address(step)?;
        let input = hostile_bytes(step.send);
        let attempts = (0..step.connections).map(|_| attempt(address, &input));
        for status in join_all(attempts).await {
            if !status.is_some_and(|status| step.status.contains(&status)) {
                let text = format!("{text}: got {status:?}, not one of {:?}", step.status);
                return Err(ScenarioError::Unexpected(text));
            }
        }
        self.write_line(format!(
            "< every connection ended, status {:?}",
            step.status
        ));
        self.check_memory()
    }

    /// Checks that no entry or agent uses more memory than its limit.
    fn check_memory(&mut self) -> Result<(), ScenarioError> {
        let processes = self.site.entries.iter().chain(&self.site.agents);
        let largest = processes
            .map(|process| process.usage().memory_kilobytes)
            .max();
        let largest = largest.unwrap_or_default();
        self.measurements.push(format!("most memory: {largest} kB"));
        if largest > MAX_MEMORY_KILOBYTES {
            let text = format!("a process uses {largest} kB of memory, more than allowed");
            return Err(ScenarioError::Unexpected(text));
        }
        Ok(())
    }

    fn address(&self, step: &HostileStep) -> Result<SocketAddr, ScenarioError> {
        let plan = &self.site.plan;
        if step.port == Port::Agent {
            return Ok(plan.agent_operators_address(0));
        }
        let entry = self.entry(&step.at)?;
        Ok(match step.port {
            Port::Callers => plan.callers_address(entry),
            Port::Operators => plan.entry_operators_address(entry),
            Port::Inner | Port::Agent => plan.links_address(entry),
        })
    }
}

/// Sends bytes and waits until the peer closes the connection.
///
/// Returns the last status code that the peer sent, 0 if it sent none, or none
/// if the peer did not close the connection in time.
async fn attempt(address: SocketAddr, input: &HostileBytes) -> Option<u16> {
    timeout(REFUSED_WITHIN, exchange(address, input)).await.ok()
}

async fn exchange(address: SocketAddr, input: &HostileBytes) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return 0;
    };
    let mut answer = Vec::new();
    // The peer may close the connection before it has read everything.
    let _ = stream.write_all(&input.head).await;
    if !input.frame.is_empty() {
        let _ = stream.read_buf(&mut answer).await;
        let _ = stream.write_all(&input.frame).await;
    }
    let _ = stream.read_to_end(&mut answer).await;
    status(&String::from_utf8_lossy(&answer))
}

/// Returns the status code of the last response in `answer`, or 0 if there is none.
fn status(answer: &str) -> u16 {
    let line = answer.lines().rfind(|line| line.starts_with("HTTP/1.1 "));
    let code = line.and_then(|line| line.split(' ').nth(1)?.parse().ok());
    code.unwrap_or_default()
}

fn hostile_bytes(input: HostileInput) -> HostileBytes {
    let head: Vec<u8> = match input {
        HostileInput::Garbage => (0..=250).cycle().step_by(31).take(GARBAGE_BYTES).collect(),
        HostileInput::HalfHead => b"POST /v1/contracts/letters/jobs HTTP/1.1\r\nhost: x\r\n".into(),
        HostileInput::HalfBody => HALF_BODY.into(),
        HostileInput::WrongToken => handshake("chestnutrun.3", "somebody-else").into(),
        HostileInput::WrongVersion => handshake("chestnutrun.0", SITE_TOKEN).into(),
        HostileInput::NoHello | HostileInput::BadFrame | HostileInput::LargeFrame => {
            handshake("chestnutrun.3", SITE_TOKEN).into()
        }
    };
    let frame = match input {
        HostileInput::BadFrame => vec![0x82, 0x84, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        HostileInput::LargeFrame => [
            &[0x82, 0xff][..],
            &ANNOUNCED_BYTES.to_be_bytes(),
            &[0; 1_024],
        ]
        .concat(),
        _ => Vec::new(),
    };
    HostileBytes { head, frame }
}

fn handshake(protocol: &str, token: &str) -> String {
    format!(
        "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
         sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
         sec-websocket-protocol: {protocol}\r\nauthorization: Bearer {token}\r\n\r\n"
    )
}
