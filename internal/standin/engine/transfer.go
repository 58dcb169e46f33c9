package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/protocol/blocks"
	protocol "github.com/shedrock/shedrock/internal/protocol/engine"
	"github.com/shedrock/shedrock/internal/state/prefix"
)

// blockData returns the data of one block: its key repeated up to size bytes.
func blockData(key string, size int) []byte {
	b := bytes.Repeat([]byte(key), size/len(key)+1)
	return b[:size]
}

func (e *Engine) decodeTransfer(w http.ResponseWriter, r *http.Request) (in protocol.Transfer, keys []prefix.Key, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return in, nil, false
	}
	if in.Version != e.Version() {
		writeJSON(w, protocol.TransferResult{Refused: "another weight version is served"})
		return in, nil, false
	}
	for _, s := range in.Keys {
		k, ok := prefix.ParseKey(s)
		if !ok {
			http.Error(w, "keys: not a key: "+s, http.StatusBadRequest)
			return in, nil, false
		}
		keys = append(keys, k)
	}
	return in, keys, true
}

// importBlocks reads objects in order until one fails. A block enters the cache
// only if its object was still sealed after the last byte was read and the data
// matches the block's key.
func (e *Engine) importBlocks(w http.ResponseWriter, r *http.Request) {
	in, keys, ok := e.decodeTransfer(w, r)
	if !ok {
		return
	}
	var out protocol.TransferResult
	for _, ref := range in.Refs {
		if out.Blocks+ref.Blocks > len(keys) {
			out.Refused = "the objects hold more blocks than there are keys"
			break
		}
		part := in.Keys[out.Blocks : out.Blocks+ref.Blocks]
		n, err := fetch(r.Context(), in, ref, part)
		out.Bytes += n
		if err != nil {
			out.Refused = err.Error()
			break
		}
		out.Blocks += ref.Blocks
	}
	e.cache.add(keys[:out.Blocks])
	e.mu.Lock()
	e.importedBlocks += out.Blocks
	e.mu.Unlock()
	writeJSON(w, out)
}

// ImportedBlocks returns the number of blocks imported from stores so far.
func (e *Engine) ImportedBlocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.importedBlocks
}

func fetch(ctx context.Context, in protocol.Transfer, ref protocol.BlockRef, keys []string) (int64, error) {
	name := blocks.Name{Object: ref.Object, Generation: ref.Generation, Incarnation: ref.Incarnation}
	data, err := getObject(ctx, in.Store, name, false)
	if err != nil {
		return 0, err
	}
	read := int64(len(data))
	if len(data) != in.Bytes*ref.Blocks {
		return read, errors.Errorf("the object has %d bytes, not %d", len(data), in.Bytes*ref.Blocks)
	}
	for i, key := range keys {
		if !bytes.Equal(data[i*in.Bytes:(i+1)*in.Bytes], blockData(key, in.Bytes)) {
			return read, errors.Errorf("block %d does not hold the context of its key", i)
		}
	}
	_, err = getObject(ctx, in.Store, name, true)
	return read, errors.Wrap(err, "check after the last byte")
}

func getObject(ctx context.Context, store string, name blocks.Name, check bool) ([]byte, error) {
	type query struct {
		Generation  uint64 `url:"generation"`
		Incarnation string `url:"incarnation"`
		Check       bool   `url:"check,omitempty"`
	}
	path := fmt.Sprintf("http://%s%s/%d", store, blocks.PathObjects, name.Object)
	req, err := sling.New().Get(path).QueryStruct(query{name.Generation, name.Incarnation, check}).Request()
	if err != nil {
		return nil, err
	}
	return sendRequest(req.WithContext(ctx))
}

func sendRequest(req *http.Request) ([]byte, error) {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the store answered %d: %s", res.StatusCode, bytes.TrimSpace(body))
	}
	return body, nil
}

// exportBlocks writes cached blocks into one new object of a store. in.Keys is the
// whole chain; in.Refs[0].Blocks is the number of its last blocks to write.
func (e *Engine) exportBlocks(w http.ResponseWriter, r *http.Request) {
	in, keys, ok := e.decodeTransfer(w, r)
	if !ok {
		return
	}
	if len(in.Refs) != 1 || in.Refs[0].Blocks < 1 || in.Refs[0].Blocks > len(keys) {
		http.Error(w, "refs: one with a number of blocks is needed", http.StatusBadRequest)
		return
	}
	if e.cache.match(keys) < len(keys) {
		writeJSON(w, protocol.TransferResult{Refused: "the blocks are no longer cached"})
		return
	}
	part := in.Keys[len(keys)-in.Refs[0].Blocks:]
	ref, n, err := putObject(r.Context(), in, part)
	out := protocol.TransferResult{Blocks: len(part), Bytes: n, Ref: ref}
	if err != nil {
		out = protocol.TransferResult{Bytes: n, Refused: err.Error()}
	}
	writeJSON(w, out)
}

func putObject(ctx context.Context, in protocol.Transfer, keys []string) (protocol.BlockRef, int64, error) {
	var data []byte
	for _, key := range keys {
		data = append(data, blockData(key, in.Bytes)...)
	}
	base := "http://" + in.Store + blocks.PathObjects
	var name blocks.Name
	create := blocks.Create{Length: int64(len(data)), Label: in.Label}
	req, err := sling.New().Post(base).BodyJSON(create).Request()
	if err != nil {
		return protocol.BlockRef{}, 0, err
	}
	body, err := sendRequest(req.WithContext(ctx))
	if err != nil {
		return protocol.BlockRef{}, 0, err
	}
	err = json.Unmarshal(body, &name)
	if err != nil {
		return protocol.BlockRef{}, 0, err
	}
	query := fmt.Sprintf("?%s=%d&%s=%s", blocks.ParamGeneration, name.Generation, blocks.ParamIncarnation, name.Incarnation)
	object := fmt.Sprintf("%s/%d", base, name.Object)
	req, err = sling.New().Put(object + query).Body(bytes.NewReader(data)).Request()
	if err != nil {
		return protocol.BlockRef{}, 0, err
	}
	_, err = sendRequest(req.WithContext(ctx))
	if err != nil {
		return protocol.BlockRef{}, 0, err
	}
	end := blocks.Seal{Length: int64(len(data)), Checksum: blocks.Checksum(data)}
	req, err = sling.New().Post(object + "/seal" + query).BodyJSON(end).Request()
	if err != nil {
		return protocol.BlockRef{}, 0, err
	}
	_, err = sendRequest(req.WithContext(ctx))
	ref := protocol.BlockRef{Key: keys[len(keys)-1], Blocks: len(keys), Object: name.Object, Generation: name.Generation, Incarnation: name.Incarnation}
	return ref, int64(len(data)), err
}
