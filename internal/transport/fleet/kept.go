package fleet

import (
	"time"

	"github.com/shedrock/shedrock/internal/coordination/keeping"
)

// Kept is what one store holds, as the leader of the control log told.
type Kept struct {
	// Until is the time on the clock of stores and engines until which Parts may be fetched.
	Until time.Duration
	// Open is how many tokens may be saved.
	Open int
	// Parts holds the tokens of each part that is whole. It never changes.
	Parts map[keeping.Part]int
	// At is when this process learned of it.
	At time.Time
}
