//! The catalogue of events. `docs/EVENTS.md` describes how to react to each; a test keeps both in sync.

use crate::EventKind;
use log::Level;

macro_rules! catalogue {
    ($($constant:ident = $number:literal $name:literal $level:ident $text:literal;)*) => {
        $(
            #[doc = $text]
            pub static $constant: EventKind = EventKind {
                number: $number,
                name: $name,
                level: Level::$level,
                text: $text,
            };
        )*

        /// All event kinds, in ascending order of their numbers.
        pub static CATALOGUE: &[&EventKind] = &[$(&$constant),*];
    };
}

catalogue! {
    STARTED = 1 "started" Info "The daemon started and accepts connections.";
    STOPPED = 2 "stopped" Info "The daemon exits after completing all requests in flight.";
    STOP_CUT = 3 "stop-cut" Warn "The daemon exits while requests are still in flight.";
    LEAVING = 4 "leaving" Info "The daemon stops accepting new calls.";
    STAYING = 5 "staying" Info "The reason for leaving no longer applies; the daemon accepts calls again.";

    SETTINGS_RELOADED = 6 "settings-reloaded" Info "The settings file was read again and is valid; changes take effect at the next start.";
    SETTINGS_REFUSED = 7 "settings-refused" Error "The changed settings file can't be used; the daemon keeps its current settings.";
    STOPPING = 8 "stopping" Info "The process received a request to stop.";

    HOP_SERVED = 100 "hop-served" Debug "The backend server answered the call.";
    HOP_FORWARDED = 101 "hop-forwarded" Debug "The call was forwarded to the daemon of the chosen instance.";
    REQUEST_DONE = 102 "request-done" Debug "A request that entered the fleet on this VM was answered.";
    REFUSED = 110 "refused" Debug "The request was refused here.";
    REROUTED = 111 "rerouted" Debug "The request was sent to another instance, because the first one had not run it.";
    RETRIED = 112 "retried" Debug "The request was retried, because its kind is safe to repeat.";
    NOT_RETRIED = 113 "not-retried" Debug "The failure was returned without a retry.";
    CANCELLED = 114 "cancelled" Debug "The caller disconnected, and the call was cancelled.";
    RECORDED_ANSWER = 115 "recorded-answer" Debug "The recorded answer of an earlier execution was returned.";
    SENT_AGAIN = 116 "sent-again" Debug "The request was sent to the backend server again over another connection, because its answer is overdue and the first connection may be unresponsive.";

    FATE_ASKED = 117 "fate-asked" Debug "A daemon queried the status of a call that it sent here, because the answer is overdue and its connection may be unresponsive.";

    CREDENTIAL_UNKNOWN = 118 "credential-unknown" Info "A request had an unknown credential or lacked a required one; logged at most once per second.";
    QUOTA_USED_UP = 119 "quota-used-up" Debug "A request was refused because its workspace has used up its quota.";
    WAITED = 120 "waited" Debug "A request waited for room at its entry, and the wait ended.";

    BACKEND_LOST = 200 "backend-lost" Warn "The backend server can't be reached.";
    BACKEND_BACK = 201 "backend-back" Info "The backend server can be reached again and is treated as cold.";
    LIMIT_CHANGED = 202 "limit-changed" Debug "The concurrency limit of the backend server changed.";
    EJECTED = 203 "ejected" Warn "An instance failed repeatedly and temporarily receives no calls.";

    BACKEND_READY = 204 "backend-ready" Info "The backend server accepts requests.";
    BACKEND_LEAVING = 205 "backend-leaving" Info "The backend server announced that it is leaving, and receives no new requests.";

    UNDER_LOAD = 206 "under-load" Debug "The demand for slots of the backend server exceeds its capacity; logged at most once per second.";
    CALLS_LEARNT = 207 "calls-learnt" Debug "The nested calls observed for a request kind changed.";

    BACKEND_REPORT_REFUSED = 208 "backend-report-refused" Warn "A report about a backend server was invalid and was ignored; logged at most once in ten seconds.";

    BACKEND_CRASHED = 209 "backend-crashed" Warn "The backend server crashed while it ran requests, and their exchanges were interrupted.";
    REQUESTS_HELD = 210 "requests-held" Warn "Requests were in progress when several backend servers crashed, and are now quarantined.";
    REQUESTS_CLEARED = 211 "requests-cleared" Info "Quarantined requests completed on some backend server and are admitted again.";

    BACKEND_COLD = 212 "backend-cold" Info "The backend server reported that it is cold, or no longer cold; while it is cold, few requests are sent to it.";

    BACKEND_RATE_LIMIT = 213 "backend-rate-limit" Info "The backend server began, changed or ended the limit on requests that its responses name; changes are logged at most once per second.";

    LEAVE_ACKNOWLEDGED = 214 "leave-acknowledged" Info "The daemon acknowledged that the backend server is leaving.";

    LEAVE_UNCONFIRMED = 215 "leave-unconfirmed" Warn "A leave of the backend server isn't acknowledged yet, since the platform's store doesn't have it; it is obeyed all the same.";

    RESPONSE_MALFORMED = 216 "response-malformed" Warn "The response of the backend server to a request was malformed and was not passed on.";

    BUNDLE_IN_FORCE = 300 "bundle-in-force" Info "A higher bundle version is in force on this daemon.";
    BUNDLE_REFUSED = 301 "bundle-refused" Error "A bundle was rejected.";
    BUNDLE_FETCH_FAILED = 302 "bundle-fetch-failed" Warn "A higher bundle version is known but could not be fetched.";
    TABLE_ENTRY_REJECTED = 303 "table-entry-rejected" Error "An entry of the route table can't be used; the other entries are in force. At most 20 are logged for each version.";
    CONTENTION_CHANGED = 304 "contention-changed" Info "The mechanisms for contention that are on have changed, because of the settings, the bundle or reports of work times.";
    BUNDLE_STALE = 305 "bundle-stale" Warn "It has not been confirmed for some time that the bundle in force is the newest one.";
    BUNDLE_CONFIRMED = 306 "bundle-confirmed" Info "The bundle in force is confirmed as the newest one again.";

    MEMBER_JOINED = 400 "member-joined" Info "A daemon joined or restarted.";
    MEMBER_LEAVING = 401 "member-leaving" Info "A daemon stopped accepting new calls.";
    MEMBER_GONE = 402 "member-gone" Info "A daemon has left the fleet.";
    WATCHER_STARTED = 403 "watcher-started" Info "This daemon started watching the platform for its failure domain.";
    WATCHER_ENDED = 404 "watcher-ended" Info "This daemon stopped watching the platform.";
    VM_LIST_NOT_BELIEVED = 405 "vm-list-not-believed" Warn "The list of VMs would remove more than half of a service and was ignored for that service.";
    PAUSE_NOTICED = 406 "pause-noticed" Warn "The process was paused; expired timers run now and the daemon announces itself again.";
    MEMBER_SWEPT = 407 "member-swept" Warn "A member did not answer the pings of a watcher for some time and is considered gone.";
    NEXT_RUN_FOUND = 408 "next-run-found" Info "The next incarnation of a daemon that had stopped was found at its address.";

    EVACUATION_CHANGED = 409 "evacuation-changed" Info "Operators asked to evacuate failure domains, or took that back; the backend servers of evacuated ones receive no requests.";

    RECORD_RECLAIMED = 410 "record-reclaimed" Warn "Others had a newer record of this instance; this daemon made its own the newest again.";

    PLATFORM_LOST = 500 "platform-lost" Warn "The platform doesn't answer; the daemon continues with the data it has.";
    PLATFORM_BACK = 501 "platform-back" Info "The platform answers again.";
    OUTCOMES_UNSAVED = 502 "outcomes-unsaved" Warn "The outcomes of tokens could not be written to the platform.";

    RECORD_UNSAVED = 503 "record-unsaved" Warn "A member record, usually the daemon's own, could not be written to the platform.";
    RECORD_UNREADABLE = 504 "record-unreadable" Warn "A record in the platform's store can't be parsed and is ignored; other records remain valid.";
    QUARANTINE_UNSAVED = 505 "quarantine-unsaved" Warn "A quarantine record could not be written to the platform or removed from it.";

    BAD_PEER = 600 "bad-peer" Warn "A client of the peer or control port sent a message that no daemon sends.";
    BAD_REQUEST = 601 "bad-request" Debug "A request was malformed or too large.";
    KEYS_ROTATED = 602 "keys-rotated" Info "The fleet keys were reloaded.";
    ACCEPT_FAILED = 603 "accept-failed" Warn "A new connection could not be accepted.";
}
