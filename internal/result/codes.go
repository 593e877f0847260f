package result

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Codes of invalid requests (1000 to 1099). The request did not run.
const (
	BadRequest      Code = 1001
	BodyTooLarge    Code = 1002
	HeaderTooLarge  Code = 1003
	Unauthenticated Code = 1004
	TeamNotAllowed  Code = 1005
	UnknownModel    Code = 1006
	UnknownService  Code = 1007
	UnknownPath     Code = 1008
	// IdempotencyKeyRequired: the request may run only once, and the caller sent
	// neither an idempotency key nor a run ticket, which is a key issued by a VM.
	IdempotencyKeyRequired Code = 1009
	// IdempotencyKeyMalformed: the idempotency key or the run ticket is invalid.
	IdempotencyKeyMalformed Code = 1010
	// IdempotencyKeyExpired: the key was issued too long ago to be still recorded.
	IdempotencyKeyExpired Code = 1011
	// IdempotencyKeyReused: the key was already used for another request.
	IdempotencyKeyReused Code = 1012
	SessionInvalid       Code = 1013
	DeadlineMalformed    Code = 1014
	BodyTimeout          Code = 1015
	// ForwardNotAllowed: a caller sent a header that only entry VMs may send.
	ForwardNotAllowed Code = 1016
)

// Codes of admission and capacity (1100 to 1199).
const (
	TeamOverLimit    Code = 1101
	Overloaded       Code = 1102
	NoUpstream       Code = 1103
	NoVersion        Code = 1104
	DeadlineTooShort Code = 1105
	Quarantined      Code = 1106
	Draining         Code = 1107
	NotReady         Code = 1108
	// UpstreamInvalid: an upstream's entry in the object store cannot be decoded or is
	// incomplete.
	UpstreamInvalid Code = 1109
	ContentBlocked  Code = 1110
	// RateLimitInvalid: an upstream names a limit that is no single positive number.
	RateLimitInvalid Code = 1111
	// BlockedRecordsInvalid: the records of blocked content in the object store cannot be
	// decoded.
	BlockedRecordsInvalid Code = 1112
	// NoBodyRoom: the VM holds as many bytes of bodies as its memory allows.
	NoBodyRoom Code = 1113
	// LoadInvalid: an upstream reports its load in a form that cannot be parsed.
	LoadInvalid Code = 1116
	// NoHeaderRoom: the VM holds as many bytes of header sections as its memory allows.
	NoHeaderRoom Code = 1114
)

// Codes of claims and delivery (1200 to 1299).
const (
	// ClaimUnavailable: the claim for the idempotency key could not be recorded or read.
	ClaimUnavailable Code = 1201
	// RunUnknown: the request may have run or may still be running.
	RunUnknown     Code = 1202
	UpstreamFailed Code = 1203
	// AnswerTruncated: the upstream's response ended early and could not be resumed.
	AnswerTruncated  Code = 1204
	DeadlineExceeded Code = 1205
	// TicketForeign: another VM issued the run ticket, and that VM is unknown, has
	// restarted or did not respond.
	TicketForeign Code = 1206
	// CallerGone: the caller disconnected or canceled the request.
	CallerGone     Code = 1207
	AnswerTooLarge Code = 1208
	// AnswerMismatch: the response belongs to another request, or it cannot be decoded.
	AnswerMismatch Code = 1209
	// AnswerNotStored: the request ran under this key, but its response was not stored, so
	// only its status can be repeated.
	AnswerNotStored Code = 1210
	// StoppedBeforeAnswer: the VM stops, and the upstream's response is not complete.
	StoppedBeforeAnswer Code = 1211
)

// Codes of documents and operators (2000 to 2099).
const (
	DocumentInvalid     Code = 2001
	DocumentConflict    Code = 2002
	DocumentUnsupported Code = 2003
	DocumentNotAccepted Code = 2004
	// DocumentUnknown: it is unknown whether the document is or will be in force.
	DocumentUnknown Code = 2005
	OperatorRefused Code = 2006

	// The findings of a check of a platform configuration.

	// ConfigFaulty: the configuration has findings.
	ConfigFaulty Code = 2020
	// ConfigPartInvalid: a part cannot be decoded and is left out.
	ConfigPartInvalid Code = 2021
	// ConfigPartHidden: another part with the same key replaces the part.
	ConfigPartHidden Code = 2022
	// ConfigKeyShared: two teams hold the same key.
	ConfigKeyShared Code = 2023
	// ConfigServiceMissing: a route's service is not configured.
	ConfigServiceMissing Code = 2024
	// ConfigModelMissing: a route's service lacks one of the route's models.
	ConfigModelMissing Code = 2025
	// ConfigNeverMatches: no request can match the route, or reach a service of it.
	ConfigNeverMatches Code = 2026
	// ConfigLimitsContradict: two limits contradict each other.
	ConfigLimitsContradict Code = 2027
	// ConfigVersionNotNewer: the VMs ignore the configuration, because its version is not
	// newer than that of the one in force.
	ConfigVersionNotNewer Code = 2028
)

// Codes of settings and startup (2100 to 2199).
const (
	SettingsInvalid Code = 2101
	AddressInUse    Code = 2102
	// KeyFilesInvalid: a file with certificates or keys is missing or invalid.
	KeyFilesInvalid Code = 2103
	// FileUnreadable: a file named on the command line cannot be read or decoded.
	FileUnreadable Code = 2104
)

// Codes of the platform's object store (3000 to 3099).
const (
	PlatformUnavailable Code = 3001
	PlatformConflict    Code = 3002
	PlatformNotFound    Code = 3003
	// PlatformWriteUnknown: a write got no response and may have been applied.
	PlatformWriteUnknown Code = 3004
	PlatformTooLarge     Code = 3005
	PlatformBusy         Code = 3006
	// PlatformGone: the revision to watch from is no longer in the store's history.
	PlatformGone Code = 3007
	// RollOutTooShort: the roll-out has no time between its trial and its deadline.
	RollOutTooShort Code = 3008
	// PlatformUnusable: the store responded, and the response is too long, cut short or
	// cannot be decoded.
	PlatformUnusable Code = 3009
	// PlatformEntryInvalid: one object of a response cannot be decoded.
	PlatformEntryInvalid Code = 3010
	// RollOutHeld: the roll-out is not completed in time, because its version is not shown
	// to be as good as the old one.
	RollOutHeld Code = 3011
)

// Codes of calls between the fleet's processes (3100 to 3199).
const (
	PeerUnreachable Code = 3101
	PeerRefused     Code = 3102
	// PeerMessageInvalid: a message of another process cannot be decoded.
	PeerMessageInvalid Code = 3103
	// PeerVersion: the processes have no protocol version in common.
	PeerVersion Code = 3104
)

// Codes of orders to engines (3200 to 3299).
const (
	OrderRefused Code = 3201
	LeaseLost    Code = 3202
)

// Internal is a fault in the program itself.
const Internal Code = 9001

var codes = slices.Sorted(maps.Keys(infoByCode))

var infoByCode = map[Code]Info{
	BadRequest:              {"bad_request", http.StatusBadRequest, NotRun, 0},
	BodyTooLarge:            {"body_too_large", http.StatusRequestEntityTooLarge, NotRun, 0},
	HeaderTooLarge:          {"header_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, 0},
	Unauthenticated:         {"unauthenticated", http.StatusUnauthorized, NotRun, 0},
	TeamNotAllowed:          {"team_not_allowed", http.StatusForbidden, NotRun, 0},
	UnknownModel:            {"unknown_model", http.StatusNotFound, NotRun, 0},
	UnknownService:          {"unknown_service", http.StatusNotFound, NotRun, 0},
	UnknownPath:             {"unknown_path", http.StatusNotFound, NotRun, 0},
	IdempotencyKeyRequired:  {"key_required", http.StatusBadRequest, NotRun, 0},
	IdempotencyKeyMalformed: {"key_malformed", http.StatusBadRequest, NotRun, 0},
	IdempotencyKeyExpired:   {"key_expired", http.StatusConflict, NotRun, 0},
	IdempotencyKeyReused:    {"key_reused", http.StatusUnprocessableEntity, NotRun, 0},
	SessionInvalid:          {"session_invalid", http.StatusBadRequest, NotRun, 0},
	DeadlineMalformed:       {"deadline_malformed", http.StatusBadRequest, NotRun, 0},
	BodyTimeout:             {"body_timeout", http.StatusRequestTimeout, NotRun, time.Second},
	ForwardNotAllowed:       {"forward_not_allowed", http.StatusBadRequest, NotRun, 0},

	TeamOverLimit:         {"team_over_limit", http.StatusTooManyRequests, NotRun, time.Second},
	Overloaded:            {"overloaded", http.StatusServiceUnavailable, NotRun, time.Second},
	NoUpstream:            {"no_upstream", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	NoVersion:             {"no_version", http.StatusServiceUnavailable, NotRun, 5 * time.Second},
	DeadlineTooShort:      {"deadline_too_short", http.StatusGatewayTimeout, NotRun, time.Second},
	Quarantined:           {"quarantined", http.StatusUnprocessableEntity, Ran, 0},
	Draining:              {"draining", http.StatusServiceUnavailable, NotRun, time.Second},
	NotReady:              {"not_ready", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	UpstreamInvalid:       {"upstream_invalid", http.StatusServiceUnavailable, NotRun, 0},
	ContentBlocked:        {"content_blocked", http.StatusServiceUnavailable, NotRun, time.Minute},
	RateLimitInvalid:      {"rate_limit_invalid", http.StatusServiceUnavailable, NotRun, 0},
	BlockedRecordsInvalid: {"blocked_records_invalid", http.StatusServiceUnavailable, NotRun, 0},
	LoadInvalid:           {"load_invalid", http.StatusServiceUnavailable, NotRun, 0},
	NoBodyRoom:            {"no_body_room", http.StatusServiceUnavailable, NotRun, time.Second},
	NoHeaderRoom:          {"no_header_room", http.StatusServiceUnavailable, NotRun, time.Second},

	ClaimUnavailable: {"claim_unavailable", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	RunUnknown:       {"run_unknown", http.StatusConflict, Unknown, 0},
	UpstreamFailed:   {"upstream_failed", http.StatusBadGateway, Unknown, time.Second},
	AnswerTruncated:  {"answer_cut", http.StatusBadGateway, Ran, time.Second},
	DeadlineExceeded: {"deadline_exceeded", http.StatusGatewayTimeout, Unknown, time.Second},
	TicketForeign:    {"ticket_foreign", http.StatusConflict, Unknown, 0},
	CallerGone:       {"caller_gone", 499, Unknown, 0},
	AnswerTooLarge:   {"answer_too_large", http.StatusBadGateway, Ran, 0},
	AnswerMismatch:   {"answer_mismatch", http.StatusBadGateway, Ran, time.Second},
	AnswerNotStored:  {"answer_not_kept", http.StatusOK, Ran, 0},

	StoppedBeforeAnswer: {"stopped_before_answer", http.StatusBadGateway, Unknown, 100 * time.Millisecond},

	DocumentInvalid:     {"document_invalid", http.StatusUnprocessableEntity, NotRun, 0},
	DocumentConflict:    {"document_conflict", http.StatusConflict, NotRun, 0},
	DocumentUnsupported: {"document_unsupported", http.StatusConflict, NotRun, 0},
	DocumentNotAccepted: {"document_not_accepted", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	DocumentUnknown:     {"document_unknown", http.StatusServiceUnavailable, Unknown, 2 * time.Second},
	OperatorRefused:     {"operator_refused", http.StatusForbidden, NotRun, 0},

	ConfigFaulty:           {"config_faulty", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigPartInvalid:      {"config_part_invalid", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigPartHidden:       {"config_part_hidden", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigKeyShared:        {"config_key_shared", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigServiceMissing:   {"config_service_missing", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigModelMissing:     {"config_model_missing", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigNeverMatches:     {"config_never_matches", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigLimitsContradict: {"config_limits_contradict", http.StatusUnprocessableEntity, NotRun, 0},
	ConfigVersionNotNewer:  {"config_version_not_newer", http.StatusUnprocessableEntity, NotRun, 0},

	SettingsInvalid: {"settings_invalid", http.StatusInternalServerError, NotRun, 0},
	AddressInUse:    {"address_in_use", http.StatusInternalServerError, NotRun, 0},
	KeyFilesInvalid: {"key_material", http.StatusInternalServerError, NotRun, 0},
	FileUnreadable:  {"file_unreadable", http.StatusInternalServerError, NotRun, 0},

	PlatformUnavailable:  {"platform_unavailable", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	PlatformConflict:     {"platform_conflict", http.StatusConflict, NotRun, 0},
	PlatformNotFound:     {"platform_not_found", http.StatusNotFound, NotRun, 0},
	PlatformWriteUnknown: {"platform_unsure", http.StatusServiceUnavailable, Unknown, 2 * time.Second},
	PlatformTooLarge:     {"platform_too_large", http.StatusRequestEntityTooLarge, NotRun, 0},
	PlatformBusy:         {"platform_busy", http.StatusTooManyRequests, NotRun, time.Second},
	PlatformGone:         {"platform_gone", http.StatusGone, NotRun, 0},
	RollOutTooShort:      {"rollout_too_short", http.StatusBadRequest, NotRun, 0},
	PlatformUnusable:     {"platform_unusable", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	PlatformEntryInvalid: {"platform_entry_invalid", http.StatusBadRequest, NotRun, 0},
	RollOutHeld:          {"rollout_held", http.StatusAccepted, NotRun, 0},

	PeerUnreachable:    {"peer_unreachable", http.StatusServiceUnavailable, Unknown, time.Second},
	PeerRefused:        {"peer_refused", http.StatusForbidden, NotRun, 0},
	PeerMessageInvalid: {"peer_frame", http.StatusBadRequest, NotRun, 0},
	PeerVersion:        {"peer_version", http.StatusBadRequest, NotRun, 0},

	OrderRefused: {"order_refused", http.StatusConflict, NotRun, 0},
	LeaseLost:    {"lease_lost", http.StatusConflict, NotRun, 0},

	Internal: {"internal", http.StatusInternalServerError, Unknown, 0},
}
