//! Recovery of the durable records of a controller at its start.

use std::io;
use std::path::Path;

use crate::control::Durable;
use crate::controller::Controller;
use crate::disk::{ControlRecord, RealFolder};
use crate::role::error::StartError;
use crate::role::identity::random_id;
use crate::settings::Settings;

/// Opens a record. One that cannot be read is discarded and opened again, as if the disk had been empty; the second value
/// is whether that happened.
pub(super) fn open_or_discard<T>(
    open: impl Fn() -> io::Result<T>, discard: impl FnOnce() -> io::Result<()>,
) -> io::Result<(T, bool)> {
    match open() {
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            log::error!("{error}: treating the record as lost");
            discard()?;
            Ok((open()?, true))
        }
        opened => Ok((opened?, false)),
    }
}

/// Recovery of the control record, over several attempts if the disk refuses.
#[derive(Default)]
pub(super) struct Recovery {
    /// Whether a record that could not be read was discarded. It stays lost in later attempts.
    is_lost: bool,
}

impl Recovery {
    /// Opens the control record. One that cannot be read counts as a lost disk: its votes are lost, so the machine becomes
    /// another elector.
    pub(super) fn open_record(
        &mut self, settings: &Settings, data: &Path,
    ) -> Result<(ControlRecord<RealFolder>, Durable), StartError> {
        let open = || ControlRecord::open(RealFolder::open(data.into())?, RealFolder::open(data.into())?);
        let discard = || {
            self.is_lost = true;
            ControlRecord::discard(&mut RealFolder::open(data.into())?)
        };
        let ((mut record, held), _) = open_or_discard(open, discard)?;
        if let Some(durable) = held {
            return Ok((record, durable));
        }
        let seeds = settings.seed_addresses();
        let is_founder = settings.bootstrap && !self.is_lost && seeds.contains(&settings.ip);
        let durable = if is_founder {
            Controller::bootstrap(settings.ip, &seeds)
        } else {
            Controller::empty(random_id())
        };
        record.save(&durable)?;
        Ok((record, durable))
    }
}
