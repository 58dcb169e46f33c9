package engine

// Instance states in the platform's list.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
)

// Instance is one entry of the platform's list of instances. The list may be out of date,
// and the state of an instance that is missing from it is unknown.
type Instance struct {
	// Address is the instance's "ip:port".
	Address string `json:"address"`
	State   string `json:"state"`
}

// Instances is the platform's list of instances.
type Instances struct {
	Instances []Instance `json:"instances"`
}
