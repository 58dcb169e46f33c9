package engine

// Instance states in the platform's list.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
)

// Instance is one line of the platform's list of instances. The list lags, and what
// it does not name it says nothing of.
type Instance struct {
	// Address is the instance's "ip:port".
	Address string `json:"address"`
	State   string `json:"state"`
}

// Instances is the platform's list.
type Instances struct {
	Instances []Instance `json:"instances"`
}
