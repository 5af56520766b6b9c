//! One incarnation of an endpoint as it registered.

use std::net::SocketAddrV4;

use borsh::{BorshDeserialize, BorshSerialize};
use tinyjson::JsonValue;

use crate::json::{JsonError, Object, parse};

/// How far an endpoint's incarnation is; it only moves on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub enum Stage {
    /// Takes requests.
    Ready,
    /// Is about to leave and takes nothing new.
    Draining,
    /// Has left.
    Gone,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    /// Its id, new with each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens: address and port.
    pub address: ([u8; 4], u16),
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// How far it is.
    pub stage: Stage,
    /// How much longer it is slow from its start, in ms.
    pub warmup_left_ms: u64,
    /// Rises with each call.
    pub sequence: u64,
    /// Whether it has missed heartbeats.
    pub is_silent: bool,
}

impl Instance {
    /// Whether it has left, is about to, or has fallen silent.
    pub fn is_unavailable(&self) -> bool {
        self.stage != Stage::Ready || self.is_silent
    }

    /// Where it listens.
    pub fn socket(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address.0.into(), self.address.1)
    }

    /// Reads the body of a registration.
    pub fn from_json(id: &str, body: &[u8]) -> Result<Instance, JsonError> {
        let not_text = |_| JsonError::Syntax(0, 0, "the body is not UTF-8".into());
        let value: JsonValue = parse(std::str::from_utf8(body).map_err(not_text)?)?;
        let object = Object::new(&value, "")?;
        let socket: SocketAddrV4 = object
            .text("address")?
            .parse()
            .map_err(|_| JsonError::Type("address".into(), "an IPv4 address with a port"))?;
        Ok(Instance {
            id: id.to_owned(),
            service: object.text("service")?.to_owned(),
            address: (socket.ip().octets(), socket.port()),
            zone: object.text("zone").unwrap_or_default().to_owned(),
            capacity: object.integer_or("capacity", 1)?.clamp(1, 1 << 20) as u32,
            stage: if object.text("state")? == "draining" { Stage::Draining } else { Stage::Ready },
            warmup_left_ms: object.number_or("warmup_left_ms", 0.0)?.max(0.0) as u64,
            sequence: object.integer_or("sequence", 0)?,
            is_silent: false,
        })
    }
}

/// A record as one controller tells another of it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RecordUpdate {
    /// The record.
    pub instance: Instance,
    /// The life of the controller that the endpoint's heartbeats come to; none if nobody is known to hear it.
    pub owner: Option<u64>,
}
