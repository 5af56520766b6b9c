// A plug-in: functions of these names are called at these points; each may be left out.

// A flow is about to be taken on. What it returns may turn it down, with the time in milliseconds for which its
// client should stay away, or label it for the log and the later points.
fn flow_taken(flow) {
    if flow.class == "notices" && flow.size > 32768 {
        return #{ turn_down: 2000 };
    }
    if flow.size > 8192 {
        return #{ label: "large" };
    }
}

// An attempt has ended: its number, the real server's name, how it ended, and after how many milliseconds.
fn attempt_ended(flow, attempt) {
    if attempt.ms > 2000 {
        print(`${flow.id} ${flow.label}: attempt ${attempt.number} at ${attempt.server} took ${attempt.ms} ms`);
    }
}

// A flow has ended: delivered, failed, returned or over.
fn flow_ended(flow, end) {
    if end == "failed" {
        print(`${flow.id} ${flow.label} failed`);
    }
}
