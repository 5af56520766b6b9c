//! One incarnation of an endpoint, as registered.

use std::net::SocketAddrV4;

use borsh::{BorshDeserialize, BorshSerialize};
use tinyjson::JsonValue;

use crate::json::{JsonError, Object, parse};

/// Lifecycle stage of an endpoint's incarnation; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub enum Stage {
    /// Accepts requests.
    Ready,
    /// About to leave; accepts no new requests.
    Draining,
    /// Has left.
    Gone,
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    /// Its id, new at each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Listen address and port.
    pub address: ([u8; 4], u16),
    /// Its zone.
    pub zone: String,
    /// Number of requests that it can process concurrently.
    pub capacity: u32,
    /// Its lifecycle stage.
    pub stage: Stage,
    /// Remaining warm-up time in ms.
    pub warmup_left_ms: u64,
    /// Increases with each registration call.
    pub sequence: u64,
    /// Whether it has missed heartbeats.
    pub is_silent: bool,
}

impl Instance {
    /// Whether it has left, is draining, or is silent.
    pub fn is_unavailable(&self) -> bool {
        self.stage != Stage::Ready || self.is_silent
    }

    /// Its listen address.
    pub fn socket(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address.0.into(), self.address.1)
    }

    /// Parses the body of a registration; fails if a field is missing or has the wrong type.
    pub fn from_json(id: &str, body: &[u8]) -> Result<Instance, JsonError> {
        let not_text = |_| JsonError::Syntax(0, 0, "the body is not UTF-8".into());
        let value: JsonValue = parse(std::str::from_utf8(body).map_err(not_text)?)?;
        let object = Object::new(&value, "")?;
        let socket: SocketAddrV4 = object
            .string("address")?
            .parse()
            .map_err(|_| JsonError::Type("address".into(), "an IPv4 address with a port"))?;
        Ok(Instance {
            id: id.to_owned(),
            service: object.string("service")?.to_owned(),
            address: (socket.ip().octets(), socket.port()),
            zone: object.string("zone").unwrap_or_default().to_owned(),
            capacity: object.integer_or("capacity", 1)?.clamp(1, 1 << 20) as u32,
            stage: if object.string("state")? == "draining" { Stage::Draining } else { Stage::Ready },
            warmup_left_ms: object.number_or("warmup_left_ms", 0.0)?.max(0.0) as u64,
            sequence: object.integer_or("sequence", 0)?,
            is_silent: false,
        })
    }
}

/// A registry record as sent from one controller to another.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RecordUpdate {
    /// The record.
    pub instance: Instance,
    /// The incarnation of the controller that receives the endpoint's heartbeats; `None` if no owner is known.
    pub owner: Option<u64>,
}
