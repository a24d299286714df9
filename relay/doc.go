// Package relay is the data path of an entry: an HTTP reverse proxy that forwards each caller's request to an upstream and its answer,
// whole or as a stream of events, back to the caller.
//
// For each request the package decides which route, customer and service apply, whether the request is sent now, queued at the entry or
// refused, and to which group of engines or plain worker it is sent. After a failure it decides whether the request is sent again, to
// which other upstream, and after which event a broken stream continues. These decisions keep to the backoffs and limits that upstreams
// request, to the retry budget, to the homes of routes and customers, and to the quarantine of requests under which upstreams crashed.
//
// An entry decides from the roster and the request counts that the leader sends, from the answers that the entry forwards, and from the
// updates that entries send each other: prompts sent, suspected groups, limits, backoffs and crashes.
//
// A route's aim is the target time to the first event of an answer, its gap aim the target time between two events. An iteration is one
// round of an engine's continuous batching: the engine prefills the pending prompts, then decodes for all running requests.
package relay
