// Package blocks holds what a store instance and its users say to each other.
//
// An object goes through writing, sealed, freeing and free. Only a sealed one
// is read, and only by a reader that names the store's incarnation, the object
// and its generation. A reader checks the object again after the last byte;
// what it read counts only when the object is still sealed in that generation.
package blocks

import "github.com/cespare/xxhash/v2"

// Paths and parameters of a store. An object's path is PathObjects + "/" + id.
const (
	PathObjects = "/v1/objects"
	PathList    = PathObjects + "/list"
	PathStore   = "/v1/store"
	// ParamGeneration and ParamIncarnation name the object beside its id.
	ParamGeneration  = "generation"
	ParamIncarnation = "incarnation"
	// ParamCheck asks only whether the object is still sealed.
	ParamCheck = "check"
)

// Name names one object. All three parts must match for a read.
type Name struct {
	Object      uint64 `json:"object"`
	Generation  uint64 `json:"generation"`
	Incarnation string `json:"incarnation"`
}

// Seal ends the writing of an object.
type Seal struct {
	Length   int64  `json:"length"`
	Checksum uint64 `json:"checksum"`
}

// Label says whose and what an object is. The store keeps it as it is given, and gives it
// back in lists, so that a directory that was lost can be made again.
type Label struct {
	Team string `json:"team"`
	// Part is the part of the directory to which the context belongs.
	Part uint16 `json:"part"`
	// Key is the chain key of the object's last block, and Parent the one before its
	// first.
	Key    string `json:"key"`
	Parent string `json:"parent"`
	// Blocks is how many blocks the object holds, and End how many the context has up
	// to the object's end.
	Blocks int `json:"blocks"`
	End    int `json:"end"`
}

// Create begins an object.
type Create struct {
	// Length is its size in bytes.
	Length int64 `json:"length"`
	Label  Label `json:"label"`
}

// ListRequest asks for the objects of parts of the directory.
type ListRequest struct {
	Parts []uint16 `json:"parts"`
	// After is the last object that was listed before; 0 begins.
	After uint64 `json:"after"`
	Limit int    `json:"limit"`
}

// ListedObject is one object of a list.
type ListedObject struct {
	Name
	Label Label `json:"label"`
	// Sealed is false while the object is written.
	Sealed bool `json:"sealed"`
}

// ListResponse holds objects in the order of their numbers.
type ListResponse struct {
	Objects []ListedObject `json:"objects"`
	// More says that the limit was reached.
	More bool `json:"more"`
}

// Usage is a store's own report.
type Usage struct {
	// Incarnation changes whenever the store starts blank.
	Incarnation string `json:"incarnation"`
	MemoryBytes int64  `json:"memory_bytes"`
	DiskBytes   int64  `json:"disk_bytes"`
	FreeBytes   int64  `json:"free_bytes"`
	Objects     int    `json:"objects"`
	// SentBytes and ReceivedBytes count the link's use since the start.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Checksum is the checksum of an object's bytes.
func Checksum(b []byte) uint64 { return xxhash.Sum64(b) }
