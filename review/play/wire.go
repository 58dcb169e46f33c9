package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names of the platform's wire format, which Go code outside package platform doesn't name.
var wire = readWire()

func readWire() map[string]string {
	out := map[string]string{}
	err := json.Unmarshal(wireText, &out)
	if err != nil {
		panic(err)
	}
	return out
}
