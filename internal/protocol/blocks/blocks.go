// Package blocks defines the HTTP protocol between a store instance and its clients.
//
// An object passes through the phases writing, sealed, freeing and free. Only a
// sealed object can be read, and only by a request that names the store's
// incarnation, the object and its generation. A reader checks the object again
// after the last byte; the data is valid only if the object is still sealed in
// that generation.
package blocks

import "github.com/cespare/xxhash/v2"

// Paths and parameters of a store. An object's path is PathObjects + "/" + id.
const (
	PathObjects = "/v1/objects"
	PathList    = PathObjects + "/list"
	PathStore   = "/v1/store"
	// ParamGeneration and ParamIncarnation identify the object together with its id.
	ParamGeneration  = "generation"
	ParamIncarnation = "incarnation"
	// ParamCheck requests only a check that the object is still sealed.
	ParamCheck = "check"
)

// Name identifies one object. All three fields must match for a read.
type Name struct {
	Object      uint64 `json:"object"`
	Generation  uint64 `json:"generation"`
	Incarnation string `json:"incarnation"`
}

// Seal is the request that ends the writing of an object and makes it readable.
type Seal struct {
	Length   int64  `json:"length"`
	Checksum uint64 `json:"checksum"`
}

// Label describes an object's owner and content. The store keeps it unchanged and returns
// it in lists, so that a lost directory can be rebuilt.
type Label struct {
	Team string `json:"team"`
	// Part is the directory partition to which the context belongs.
	Part uint16 `json:"part"`
	// Key is the chain key of the object's last block, and Parent that of the block before
	// its first.
	Key    string `json:"key"`
	Parent string `json:"parent"`
	// Blocks is the number of blocks in the object, and End the number of the context's
	// blocks up to the object's end.
	Blocks int `json:"blocks"`
	End    int `json:"end"`
}

// Create is the request to create an object, which is then in the writing phase.
type Create struct {
	// Length is the object's size in bytes.
	Length int64 `json:"length"`
	Label  Label `json:"label"`
}

// ListRequest requests a page of the objects of some directory partitions.
type ListRequest struct {
	Parts []uint16 `json:"parts"`
	// After is the last object of the previous page, or 0 for the first page.
	After uint64 `json:"after"`
	Limit int    `json:"limit"`
}

// ListedObject is one object of a list.
type ListedObject struct {
	Name
	Label Label `json:"label"`
	// Sealed is false while the object is being written.
	Sealed bool `json:"sealed"`
}

// ListResponse is one page of objects in ascending order of their ids.
type ListResponse struct {
	Objects []ListedObject `json:"objects"`
	// More reports that there are further objects beyond the limit.
	More bool `json:"more"`
}

// Usage is a store's report of its capacity and traffic.
type Usage struct {
	// Incarnation changes whenever the store starts empty.
	Incarnation string `json:"incarnation"`
	MemoryBytes int64  `json:"memory_bytes"`
	DiskBytes   int64  `json:"disk_bytes"`
	FreeBytes   int64  `json:"free_bytes"`
	Objects     int    `json:"objects"`
	// SentBytes and ReceivedBytes count the bytes transferred over the link since the start.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Checksum returns the xxHash64 of an object's bytes.
func Checksum(b []byte) uint64 { return xxhash.Sum64(b) }
