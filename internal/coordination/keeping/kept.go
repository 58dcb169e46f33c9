package keeping

import "time"

// StoreContents is what one store holds, as the leader of the control log told.
type StoreContents struct {
	// Until is the time on the clock of stores and engines until which Parts may be fetched.
	Until time.Duration
	// FreeTokens is how many tokens may be saved, and OpenEpoch the start of the store at which
	// it may be saved to; 0 while it rests after a start.
	FreeTokens int
	OpenEpoch  uint64
	// Parts holds the tokens of each part that is whole. It never changes.
	Parts map[Part]int
	// ReceivedAt is when this process learned of it.
	ReceivedAt time.Time
}
