package keeping

import "time"

// Committed is what the control log holds that concerns stores.
type Committed struct {
	// OpenEpochs holds, by the stores' addresses, an epoch of each in which it was open for saves.
	OpenEpochs map[string]uint64
	// Weights holds the newest weight version of each model.
	Weights map[string]uint64
	// SharedSince is the version of the configuration since which teams share KV cache.
	SharedSince uint64
	// Saves holds the saves that may still be written. SavesRecorded is true if no others may be.
	Saves         []Save
	SavesRecorded bool
}

// StoreContents is what one store holds, as published by the leader of the control log.
type StoreContents struct {
	// Until is the time, on the clock of stores and engines, until which Parts may be fetched.
	Until time.Duration
	// FreeTokens is how many tokens may be saved. OpenEpoch is the store's epoch if it is open for
	// saves, and 0 while it is not, for some time after a start.
	FreeTokens int
	OpenEpoch  uint64
	// Epoch is the store's epoch in which Parts were read.
	Epoch uint64
	// Parts holds the number of tokens of each complete part. The map is never modified.
	Parts map[Part]int
	// ReceivedAt is when the leader had read the contents.
	ReceivedAt time.Time
}
