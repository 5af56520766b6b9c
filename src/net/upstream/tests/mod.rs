//! Calls against scripted endpoints, and what answers say.

mod answers;
mod calls;
mod early;
mod given_up;
mod late;
