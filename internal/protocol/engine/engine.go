// Package engine holds what shedrock and a model engine say to each other
// beside the OpenAI-compatible bodies: headers, load, cache events, kept
// context, and fenced orders.
//
// Every answer and every event of a stream carries the id of the run that it
// belongs to. That is what makes a late answer on a reused connection visible.
package engine

import (
	"fmt"

	"github.com/shedrock/shedrock/internal/protocol/blocks"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// Headers of requests and answers.
const (
	// HeaderRun carries the run's id both ways.
	HeaderRun = "X-Run-Id"
	// HeaderAttempt counts a run's attempts from 1, both ways.
	HeaderAttempt = "X-Attempt"
	// HeaderSalt carries the cache salt; blocks match only under the same one.
	HeaderSalt = "X-Cache-Salt"
	// HeaderVersion carries the expected weight version, and back the one that ran.
	HeaderVersion = "X-Weight-Version"
	// HeaderPriority carries a number; a lower one runs earlier.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is "true" on a refusal that ran nothing of this run.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "true" on a refusal by an upstream that is stopping.
	HeaderLeaving = "X-Leaving"
	// HeaderCached counts the prompt tokens that were reused.
	HeaderCached = "X-Cached-Tokens"
	// HeaderPrompt counts the prompt's tokens.
	HeaderPrompt = "X-Prompt-Tokens"
	// HeaderLoad carries the engine's load on each answer, as "running queued reading".
	HeaderLoad = "X-Load"
	// HeaderLastEvent resumes a stream after an offset.
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

// Load is an engine's own report of how busy it is. It lags.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// PendingPromptTokens counts the prompt tokens that wait to be computed.
	PendingPromptTokens int `json:"reading"`
	// Version is the weight version being served.
	Version string `json:"version"`
	// Leaving is true once the engine takes no new work.
	Leaving bool `json:"leaving"`
}

// String gives the form that HeaderLoad carries.
func (l Load) String() string {
	return fmt.Sprintf("%d %d %d", l.Running, l.Queued, l.PendingPromptTokens)
}

// ParseLoad reads a HeaderLoad; ok is false when there is none.
func ParseLoad(s string) (l Load, ok bool) {
	n, err := fmt.Sscanf(s, "%d %d %d", &l.Running, &l.Queued, &l.PendingPromptTokens)
	return l, err == nil && n == 3
}

// CacheEvent tells of one block that entered or left an engine's memory.
type CacheEvent struct {
	// Sequence rises by one for each event of one engine start; a gap means
	// that events were lost.
	Sequence uint64 `json:"sequence"`
	Key      string `json:"key"`
	Removed  bool   `json:"removed"`
}

// CacheEvents is one page of events.
type CacheEvents struct {
	// Start identifies one run of the engine's process: a blank cache.
	Start  string       `json:"start"`
	Events []CacheEvent `json:"events"`
}

// BlockRef names one kept object in a store.
type BlockRef struct {
	// Key is the chain key of the last block of context that the object holds.
	Key string `json:"key"`
	// Blocks is how many blocks of context the object holds.
	Blocks int `json:"blocks"`
	// Object, Generation and Incarnation name the object; all three must match.
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
	// Keys are the chain keys of every block concerned, in order.
	Keys []string `json:"keys"`
	// Refs name the objects to import, in order.
	Refs []BlockRef `json:"refs,omitempty"`
	// Bytes is the size of one block in the store.
	Bytes int `json:"bytes"`
	// Label is given to the store with the object of an export.
	Label blocks.Label `json:"label"`
}

// TransferResult is the engine's answer to a Transfer.
type TransferResult struct {
	// Blocks is how many leading blocks are now in the engine's memory, or in
	// the store.
	Blocks int `json:"blocks"`
	// Bytes is how much went over the link.
	Bytes int64 `json:"bytes"`
	// Ref names the exported object.
	Ref BlockRef `json:"ref"`
	// Refused says why a transfer ended early; it is empty otherwise.
	Refused string `json:"refused,omitempty"`
}

// Order states a wanted end for an engine, with a fencing token.
type Order struct {
	Token   uint64 `json:"token"`
	Version string `json:"version"`
}

// OrderState is what an engine says of its orders.
type OrderState struct {
	// Token is the highest one seen; an engine that checks refuses lower ones.
	Token   uint64 `json:"token"`
	Version string `json:"version"`
	Loading string `json:"loading,omitempty"`
}

// KeyStrings gives the wire form of keys.
func KeyStrings(keys []prefix.Key) []string {
	out := make([]string, 0, len(keys))
	for _, k := range keys {
		out = append(out, k.String())
	}
	return out
}
