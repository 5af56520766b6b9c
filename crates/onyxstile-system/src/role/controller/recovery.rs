//! Recovery of the durable records of a controller at its start.

use std::io;
use std::path::Path;

use crate::control::Durable;
use crate::controller::Controller;
use crate::disk::{ControlRecord, RealFolder};
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

/// Opens the control record. One that cannot be read counts as a lost disk: its votes are lost, so the machine becomes
/// another elector.
pub(super) fn open_record(
    settings: &Settings, data: &Path,
) -> io::Result<(ControlRecord<RealFolder>, Durable)> {
    let ((mut record, held), is_lost) = open_or_discard(
        || ControlRecord::open(RealFolder::open(data.into())?, RealFolder::open(data.into())?),
        || ControlRecord::discard(&mut RealFolder::open(data.into())?),
    )?;
    if let Some(durable) = held {
        return Ok((record, durable));
    }
    let seeds = settings.seed_addresses();
    let is_founder = settings.bootstrap && !is_lost && seeds.contains(&settings.ip);
    let durable =
        if is_founder { Controller::bootstrap(settings.ip, &seeds) } else { Controller::empty(random_id()) };
    record.save(&durable)?;
    Ok((record, durable))
}
