// Package engine defines the protocol between shedrock and a model engine
// beside the OpenAI-compatible bodies: headers, load reports, cache events,
// transfers of stored context, and orders with fencing tokens.
//
// Every response and every event of a stream carries the id of the run that it
// belongs to, so that a late response on a reused connection is detected.
package engine

import (
	"fmt"

	"github.com/shedrock/shedrock/internal/protocol/blocks"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// Headers of requests and responses.
const (
	// HeaderRun carries the run's id in both directions.
	HeaderRun = "X-Run-Id"
	// HeaderAttempt carries the attempt's number, counted from 1 in each run, in both directions.
	HeaderAttempt = "X-Attempt"
	// HeaderSalt carries the cache salt; cached blocks match only under the same salt.
	HeaderSalt = "X-Cache-Salt"
	// HeaderVersion carries the expected weight version in a request, and the version used in its response.
	HeaderVersion = "X-Weight-Version"
	// HeaderPriority carries the priority as a number; lower numbers run earlier.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is "true" on a refusal if the engine executed no part of this run.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "true" on a refusal by an upstream that is shutting down.
	HeaderLeaving = "X-Leaving"
	// HeaderCached carries the number of prompt tokens reused from the cache.
	HeaderCached = "X-Cached-Tokens"
	// HeaderPrompt carries the number of prompt tokens.
	HeaderPrompt = "X-Prompt-Tokens"
	// HeaderLoad carries the engine's load on each response, as "running queued reading".
	HeaderLoad = "X-Load"
	// HeaderLastEvent carries the offset after which a stream is to be resumed.
	HeaderLastEvent = "Last-Event-ID"
)

// Paths of an engine beside the OpenAI-compatible ones. A run's path is
// PathRuns + id, and its stream that + "/events".
const (
	PathRuns   = "/v1/runs/"
	PathLoad   = "/v1/load"
	PathEvents = "/v1/cache/events"
	PathImport = "/v1/kv/import"
	PathExport = "/v1/kv/export"
	PathOrders = "/v1/orders"
)

// Load is an engine's load report, which may be out of date.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// PendingPromptTokens counts the prompt tokens that wait to be computed.
	PendingPromptTokens int `json:"reading"`
	// Version is the weight version being served.
	Version string `json:"version"`
	// Leaving is true once the engine accepts no new work.
	Leaving bool `json:"leaving"`
}

// String returns the value of HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("%d %d %d", l.Running, l.Queued, l.PendingPromptTokens)
}

// ParseLoad parses the value of HeaderLoad; ok is false if it is absent or malformed.
func ParseLoad(s string) (l Load, ok bool) {
	n, err := fmt.Sscanf(s, "%d %d %d", &l.Running, &l.Queued, &l.PendingPromptTokens)
	return l, err == nil && n == 3
}

// CacheEvent reports that one block was added to or removed from an engine's cache.
type CacheEvent struct {
	// Sequence increases by one with each event of one engine process; a gap
	// means that events were lost.
	Sequence uint64 `json:"sequence"`
	Key      string `json:"key"`
	Removed  bool   `json:"removed"`
}

// CacheEvents is one page of events.
type CacheEvents struct {
	// Start identifies the engine's process; a new process starts with an empty cache.
	Start  string       `json:"start"`
	Events []CacheEvent `json:"events"`
}

// BlockRef identifies one object in a store.
type BlockRef struct {
	// Key is the chain key of the last block of context in the object.
	Key string `json:"key"`
	// Blocks is the number of blocks of context in the object.
	Blocks int `json:"blocks"`
	// Object, Generation and Incarnation identify the object; all three must match.
	Object      uint64 `json:"object"`
	Generation  uint64 `json:"generation"`
	Incarnation string `json:"incarnation"`
}

// Transfer asks an engine to import from or export to a store.
type Transfer struct {
	// Store is the store's "ip:port".
	Store string `json:"store"`
	// Version is the weight version under which the blocks were computed.
	Version string `json:"version"`
	// Keys are the chain keys of the blocks to import, or of the whole chain whose last blocks
	// are exported, in order.
	Keys []string `json:"keys"`
	// Refs identify the objects to import, in order. For an export, Refs[0].Blocks is the
	// number of blocks to write.
	Refs []BlockRef `json:"refs,omitempty"`
	// Bytes is the size of one block in the store.
	Bytes int `json:"bytes"`
	// Label is stored with the exported object.
	Label blocks.Label `json:"label"`
}

// TransferResult is the engine's response to a Transfer.
type TransferResult struct {
	// Blocks is the number of leading blocks that are in the engine's memory after
	// an import, or of blocks that an export wrote to the store.
	Blocks int `json:"blocks"`
	// Bytes is the number of bytes sent over the link.
	Bytes int64 `json:"bytes"`
	// Ref identifies the exported object.
	Ref BlockRef `json:"ref"`
	// Refused is the reason for which a transfer ended early, or empty.
	Refused string `json:"refused,omitempty"`
}

// Order declares an engine's desired state, with a fencing token.
type Order struct {
	Token   uint64 `json:"token"`
	Version string `json:"version"`
}

// OrderState is an engine's report on its orders.
type OrderState struct {
	// Token is the highest token seen; an engine that checks tokens rejects lower ones.
	Token   uint64 `json:"token"`
	Version string `json:"version"`
	Loading string `json:"loading,omitempty"`
}

// KeyStrings returns the wire form of keys.
func KeyStrings(keys []prefix.Key) []string {
	out := make([]string, 0, len(keys))
	for _, k := range keys {
		out = append(out, k.String())
	}
	return out
}
