//! What a controller finds on its disk at its start.

use std::io;
use std::path::Path;

use crate::control::Durable;
use crate::controller::Controller;
use crate::disk::{ControlRecord, RealFolder};
use crate::role::identity::random_id;
use crate::settings::Settings;

/// What the disk holds. A record that can't be read counts as a lost disk: its votes are forgotten, so it is another elector.
pub(super) fn open_record(
    settings: &Settings, data: &Path,
) -> io::Result<(ControlRecord<RealFolder>, Durable)> {
    let open = || ControlRecord::open(RealFolder::open(data.into())?, RealFolder::open(data.into())?);
    let mut may_found = settings.bootstrap;
    let (mut record, held) = match open() {
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            log::error!("{error}: this disk counts as lost");
            ControlRecord::discard(&mut RealFolder::open(data.into())?)?;
            may_found = false;
            open()?
        }
        opened => opened?,
    };
    if let Some(durable) = held {
        return Ok((record, durable));
    }
    let seeds = settings.seed_addresses();
    let is_founder = may_found && seeds.contains(&settings.ip);
    let durable =
        if is_founder { Controller::bootstrap(settings.ip, &seeds) } else { Controller::empty(random_id()) };
    record.save(&durable)?;
    Ok((record, durable))
}
