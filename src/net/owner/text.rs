//! Text representations for scripts, the log and the ledger.

use super::*;

pub(super) fn view(
    class: &str, tenant: Option<&str>, destination: DestinationId, parcel: &Parcel,
) -> FlowView {
    FlowView {
        id: parcel.id.clone(),
        class: class.to_string(),
        tenant: tenant.unwrap_or_default().to_string(),
        destination: crate::net::mail::written(destination),
        size: parcel.body.len(),
        mail: parcel.mail.as_ref().map(|m| (m.from.clone(), m.to.clone())),
        label: String::new(),
    }
}

/// Whether the submitter must be notified of this end. For mail the notification is a flow of its own.
pub(super) fn needs_notice(parcel: &Parcel, end: End) -> bool {
    parcel.mail.is_none() && matches!(end, End::Failed | End::Returned(_))
}

pub(super) fn end_name(end: End) -> &'static str {
    match end {
        End::Delivered => "delivered",
        End::Failed => "failed",
        End::Returned(_) => "returned",
        End::Over => "over",
    }
}

pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "success",
        Outcome::Failure => "failure",
        Outcome::Overloaded { .. } => "overloaded",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "unreachable",
        Outcome::Broken => "broken",
        Outcome::Withdrawn => "withdrawn",
        Outcome::Void => "void",
    }
}
