package result

import "net/http"

// Code numbers one outcome; the table in docs/RESULT-CODES.md lists them all.
type Code int

// The codes: 1xxx settings, 2xxx requests, 3xxx changes, 4xxx control and storage, 5xxx upstreams.
const (
	OK Code = 0

	Usage              Code = 1000
	SettingsSyntax     Code = 1001
	SettingsUnknownKey Code = 1002
	SettingsType       Code = 1003
	SettingsMissing    Code = 1004
	SettingsValue      Code = 1005
	SettingsConflict   Code = 1006
	SettingsUnreadable Code = 1007

	BadRequest          Code = 2001
	Unauthorized        Code = 2002
	ModelUnknown        Code = 2003
	TooLarge            Code = 2004
	LimitExceeded       Code = 2005
	Overloaded          Code = 2006
	DeadlineUnreachable Code = 2007
	NoWholeGroup        Code = 2008
	KeyRequired         Code = 2009
	KeyReused           Code = 2010
	InProgress          Code = 2011
	OutcomeUnknown      Code = 2012
	TimedOut            Code = 2013
	UpstreamFailed      Code = 2014
	Cancelled           Code = 2015
	Stopping            Code = 2016
	ControlUnreachable  Code = 2017
	ServiceUnknown      Code = 2018
	NotFound            Code = 2019
	AnswerNotKept       Code = 2020
	WorkHeld            Code = 2021
	BackedOff           Code = 2022
	Limited             Code = 2023
	OutOfHome           Code = 2024
	PartQuarantined     Code = 2025

	ChangeInvalid     Code = 3001
	ChangeConflict    Code = 3002
	ChangeNotFound    Code = 3003
	ChangeExists      Code = 3004
	ChangeRefused     Code = 3005
	ChangeIDReused    Code = 3006
	OperatorForbidden Code = 3007
	ChangeSuperseded  Code = 3008

	NoLeader         Code = 4001
	StorageDamaged   Code = 4002
	StorageFull      Code = 4003
	SyncFailed       Code = 4004
	NotAdmitted      Code = 4005
	WrongFolder      Code = 4006
	FormatTooNew     Code = 4007
	PeerRefused      Code = 4008
	StartFailed      Code = 4009
	CommandTimedOut  Code = 4010
	PromiseBroken    Code = 4011
	DaemonUnreached  Code = 4012
	MemberBehind     Code = 4013
	ProposalTooLarge Code = 4014

	OrderRefused      Code = 5001
	OrderFenced       Code = 5002
	UpstreamNotRun    Code = 5003
	AnswerFragment    Code = 5004
	AnswerForeign     Code = 5005
	UpstreamMalformed Code = 5006
	EpochMismatch     Code = 5007
	NeverSent         Code = 5008
	ReportUnusable    Code = 5009
	BackoffUnreadable Code = 5010
	LimitUnreadable   Code = 5011
)

// Info describes one code: its kebab-case name, HTTP status, process exit code, whether it asserts that the request did not run, and what to do.
type Info struct {
	Code    Code
	Name    string
	Status  int
	Exit    int
	NotRun  bool
	Meaning string
	Next    string
}

// Exit codes of the program, shared by many result codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
	exitRefused  = 4
	exitConflict = 5
	exitStorage  = 6
	exitPromise  = 7
)

// Table lists every code in ascending order.
func Table() []Info {
	return append([]Info(nil), table...)
}

var table = []Info{
	{OK, "ok", http.StatusOK, exitOK, false, "The call succeeded.", "Nothing."},

	{Usage, "usage", 0, exitUsage, false, "The command line is not understood.", "Read the command's --help."},
	{SettingsSyntax, "settings-syntax", 0, exitSettings, false, "The settings file is not JSON with comments.", "Correct the place named by line and column."},
	{SettingsUnknownKey, "settings-unknown-key", 0, exitSettings, false, "The settings file has a key that is not known.", "Remove it or correct its spelling."},
	{SettingsType, "settings-type", 0, exitSettings, false, "A value in the settings file has the wrong type.", "Give the type that the message names."},
	{SettingsMissing, "settings-missing", 0, exitSettings, false, "A required key is missing.", "Add the key."},
	{SettingsValue, "settings-value", 0, exitSettings, false, "A value in the settings file is out of range or malformed.", "Give a value that the message allows."},
	{SettingsConflict, "settings-conflict", 0, exitSettings, false, "Two values in the settings file exclude each other.", "Change one of them."},
	{SettingsUnreadable, "settings-unreadable", 0, exitSettings, false, "The settings file cannot be read.", "Check the path and its permissions."},

	{BadRequest, "bad-request", http.StatusBadRequest, exitRefused, true, "The request is malformed.", "Correct the request."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, exitRefused, true, "The key is missing or not known.", "Present a valid key as a bearer token."},
	{ModelUnknown, "model-unknown", http.StatusNotFound, exitRefused, true, "No group serves a model of that name.", "List the models with GET /v1/models."},
	{TooLarge, "too-large", http.StatusRequestEntityTooLarge, exitRefused, true, "The request is larger than the limit.", "Send a smaller request."},
	{LimitExceeded, "limit-exceeded", http.StatusTooManyRequests, exitRefused, true, "The customer's own limit is reached.", "Wait for Retry-After, or ask for a higher limit."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, exitRefused, true, "The queue of the request's class is full.", "Wait for Retry-After."},
	{DeadlineUnreachable, "deadline-unreachable", http.StatusServiceUnavailable, exitRefused, true, "The request cannot finish before its deadline.", "Retry after Retry-After, or give a later deadline."},
	{NoWholeGroup, "no-whole-group", http.StatusServiceUnavailable, exitRefused, true, "No group of the model has all its members present.", "Wait for Retry-After; operators run explain."},
	{KeyRequired, "idempotency-key-required", http.StatusBadRequest, exitRefused, true, "A not-repeatable request has no Idempotency-Key.", "Send one unique key for each intended effect."},
	{KeyReused, "idempotency-key-reused", http.StatusUnprocessableEntity, exitRefused, true, "The Idempotency-Key was used with another request.", "Use a new key."},
	{InProgress, "in-progress", http.StatusConflict, exitRefused, false, "The request with that Idempotency-Key is still running.", "Ask again after Retry-After with the same key."},
	{OutcomeUnknown, "outcome-unknown", http.StatusBadGateway, exitFailed, false, "The not-repeatable request may have run; its answer is lost.", "Check the effect before a new key is used."},
	{TimedOut, "timed-out", http.StatusGatewayTimeout, exitFailed, false, "The deadline passed; the request may still run.", "Retry if the request may be repeated."},
	{UpstreamFailed, "upstream-failed", http.StatusBadGateway, exitFailed, false, "The upstream failed while the request ran.", "Retry if the request may be repeated."},
	{Cancelled, "cancelled", 499, exitFailed, false, "The caller went away.", "Nothing."},
	{Stopping, "stopping", http.StatusServiceUnavailable, exitRefused, true, "The daemon is stopping and does not take the request.", "Use another daemon."},
	{ControlUnreachable, "control-unreachable", http.StatusServiceUnavailable, exitRefused, true, "The daemon has lost most control members and may hold old configuration.", "Use another daemon; check the network."},
	{ServiceUnknown, "service-unknown", http.StatusNotFound, exitRefused, true, "No plain service has that name.", "Check the name in the path."},
	{NotFound, "not-found", http.StatusNotFound, exitRefused, true, "No such path.", "Check the path."},
	{AnswerNotKept, "answer-not-kept", http.StatusConflict, exitFailed, false, "The request ran to its end once; its answer was too large to be kept.", "Do not send it again; read the effect at its source."},
	{WorkHeld, "work-held", http.StatusBadGateway, exitFailed, false, "Upstreams ended each time they ran the same request; it is not sent to any for now.", "Change the request; the same one is let in once after Retry-After."},
	{BackedOff, "upstreams-backed-off", http.StatusServiceUnavailable, exitRefused, true, "Every upstream that could run the request asked to be left alone for a time.", "Wait for Retry-After; operators run site explain."},
	{Limited, "upstreams-limited", http.StatusServiceUnavailable, exitRefused, true, "Every upstream that could run the request has named how many requests it takes, and takes no more in time.", "Wait for Retry-After; operators run site explain."},
	{OutOfHome, "no-upstream-at-home", http.StatusServiceUnavailable, exitRefused, true, "Every upstream that could run the request is in a region where its route or its customer does not allow it.", "Add upstreams in an allowed region, or allow another one."},
	{PartQuarantined, "prompt-part-quarantined", http.StatusServiceUnavailable, exitFailed, true, "Upstreams crashed each time they began an answer to a prompt with one of its parts; such requests are not sent for now.", "Change that part of the prompt; a single request with it is sent after Retry-After."},

	{ChangeInvalid, "change-invalid", http.StatusBadRequest, exitRefused, true, "The change is malformed.", "Correct the change."},
	{ChangeConflict, "change-conflict", http.StatusConflict, exitConflict, true, "Another change came first.", "Read the current state and decide again."},
	{ChangeNotFound, "change-not-found", http.StatusNotFound, exitRefused, true, "The named object does not exist.", "List the objects."},
	{ChangeExists, "change-exists", http.StatusConflict, exitConflict, true, "An object of that name exists.", "Change it, or use another name."},
	{ChangeRefused, "change-refused", http.StatusConflict, exitConflict, true, "The change would break a rule of the state.", "Read the message."},
	{ChangeIDReused, "change-id-reused", http.StatusConflict, exitConflict, true, "The change id was used with another change.", "Use a new change id."},
	{OperatorForbidden, "operator-forbidden", http.StatusUnauthorized, exitRefused, true, "The operator key is missing or not known.", "Present a valid operator key."},
	{ChangeSuperseded, "change-superseded", http.StatusServiceUnavailable, exitConflict, false, "A newer change was carried out, or the change may be an old copy that arrived late.", "Read the current state; send the change again if it is still wanted."},

	{NoLeader, "no-leader", http.StatusServiceUnavailable, exitFailed, false, "No control leader confirmed the change in time; it may still be accepted.", "Send the change again with the same change id."},
	{StorageDamaged, "storage-damaged", 0, exitStorage, false, "The data folder is damaged before its last record.", "Replace the member; see docs/OPERATIONS.md."},
	{StorageFull, "storage-full", http.StatusInsufficientStorage, exitStorage, true, "The disk is full; changes are refused and serving goes on.", "Free space in the data folder."},
	{SyncFailed, "sync-failed", 0, exitStorage, false, "A sync of the data folder failed; what is on disk is not known.", "Replace the disk and the member."},
	{NotAdmitted, "not-admitted", http.StatusServiceUnavailable, exitStorage, true, "This member's data folder is new or old and has no vote.", "Run control admit with the member's name."},
	{WrongFolder, "wrong-folder", 0, exitStorage, false, "The data folder belongs to another member.", "Point data-folder at the right folder."},
	{FormatTooNew, "format-too-new", 0, exitStorage, false, "The data folder was written by a newer version.", "Run that version."},
	{PeerRefused, "peer-refused", http.StatusServiceUnavailable, exitFailed, true, "A peer refused the call.", "Check that all daemons have the same settings."},
	{StartFailed, "start-failed", 0, exitFailed, false, "The daemon could not start.", "Read the message."},
	{CommandTimedOut, "command-timed-out", http.StatusGatewayTimeout, exitFailed, false, "The wait ended before the condition held.", "Run wait again."},
	{PromiseBroken, "promise-broken", 0, exitPromise, false, "The demo saw a promise broken.", "Report it with the demo's account."},
	{DaemonUnreached, "daemon-unreached", http.StatusServiceUnavailable, exitFailed, false, "The daemon did not answer.", "Check the address, or use another daemon."},
	{MemberBehind, "member-behind", http.StatusConflict, exitRefused, true, "The member is not reachable or not caught up.", "Wait until it follows, then run the command again."},
	{ProposalTooLarge, "proposal-too-large", http.StatusRequestEntityTooLarge, exitRefused, true, "The change is larger than one log entry may be.", "Split the change."},

	{OrderRefused, "order-refused", http.StatusConflict, exitFailed, true, "An engine refused an order.", "Read the engine's message."},
	{OrderFenced, "order-fenced", http.StatusConflict, exitFailed, true, "An engine has seen a newer leader.", "Nothing; the older leader stops by itself."},
	{UpstreamNotRun, "upstream-not-run", http.StatusServiceUnavailable, exitRefused, true, "The upstream refused the request before running it.", "Retry."},
	{AnswerFragment, "answer-fragment", http.StatusBadGateway, exitFailed, false, "The upstream's answer ended early.", "Retry if the request may be repeated."},
	{AnswerForeign, "answer-foreign", http.StatusBadGateway, exitFailed, false, "The upstream answered another request.", "Retry if the request may be repeated."},
	{UpstreamMalformed, "upstream-malformed", http.StatusBadGateway, exitFailed, false, "The upstream's answer cannot be read.", "Check the engine's version."},
	{EpochMismatch, "epoch-mismatch", http.StatusServiceUnavailable, exitRefused, true, "The engine is in another epoch of its group.", "Retry."},
	{NeverSent, "never-sent", http.StatusServiceUnavailable, exitRefused, true, "No connection to the upstream could be opened; nothing was sent.", "Retry."},
	{ReportUnusable, "report-unusable", http.StatusBadRequest, exitRefused, true, "A report lacks what every upstream says of itself; it names none.", "Look who reports there."},
	{BackoffUnreadable, "backoff-unreadable", 0, exitFailed, false, "An upstream asked to be left alone for a time that cannot be read; it is passed over for a moment.", "Look what the upstream sends as Retry-After."},
	{LimitUnreadable, "limit-unreadable", 0, exitFailed, false, "An upstream named a number of requests a second that cannot be read; what it named before goes on.", "Look what the upstream names as its limit."},
}

// Lookup returns the description of c, or that of an unnamed failure when c is not in the table.
func Lookup(c Code) Info {
	for i := range table {
		if table[i].Code == c {
			return table[i]
		}
	}
	return Info{Code: c, Name: "unnamed", Status: http.StatusInternalServerError, Exit: exitFailed}
}
