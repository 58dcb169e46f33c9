// Package declared implements the declared state: the documents that operators
// write, their strict validation, and the deterministic rule by which a change
// is accepted.
//
// A file is one document with its own kind and version. It is applied atomically:
// all faults are found before anything changes, and references between documents
// are checked in the same deterministic step that accepts a change. Two concurrent
// changes that are each valid alone can therefore not combine into an invalid state.
package declared

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Kind is what a document declares. At most one document of each kind is in force.
type Kind string

// The kinds of document.
const (
	KindTeams     Kind = "teams"
	KindModels    Kind = "models"
	KindUpstreams Kind = "upstreams"
	KindStores    Kind = "stores"
	KindServices  Kind = "services"
	KindControl   Kind = "control"
)

// Kinds lists every kind in a fixed order.
func Kinds() []Kind {
	return []Kind{KindControl, KindModels, KindServices, KindStores, KindTeams, KindUpstreams}
}

// MaxDocumentBytes bounds the text of one document.
const MaxDocumentBytes = 4 << 20

// Fault is one error in a document, with its location.
type Fault struct {
	// File is the file name that the operator gave.
	File string `json:"file"`
	// Line counts from 1; 0 means that the fault has no line.
	Line int `json:"line"`
	// Field is the path of the invalid field, such as "teams[1].name".
	Field string `json:"field"`
	// Reason says what is wrong and what is expected.
	Reason string `json:"reason"`
}

// String formats the fault as "file:line: field: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}

// Document is one parsed document that is valid by itself; references to other
// documents are not checked yet. It is immutable.
type Document struct {
	kind    Kind
	version uint64
	// file is the file name that the operator gave; it is used only in faults.
	file string
	text []byte
	tree *ast.File
	body fileBody
}

// Kind returns what the document declares.
func (d *Document) Kind() Kind { return d.kind }

// Version returns the document's own version, from 1.
func (d *Document) Version() uint64 { return d.version }

// Text returns the document's YAML as the operator wrote it.
func (d *Document) Text() []byte { return d.text }

// Digest returns a digest of kind, version and text. A change that is sent again has
// the same digest.
func (d *Document) Digest() string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s\x00%d\x00%s", d.kind, d.version, d.text)))
	return hex.EncodeToString(sum[:])
}

// fileBody is the YAML form of all kinds; a document sets only the section of its kind.
type fileBody struct {
	Document  Kind         `yaml:"document"`
	Version   uint64       `yaml:"version"`
	Teams     []teamFields `yaml:"teams"`
	Models    []modelFields
	Upstreams []upstreamFields
	Stores    []storeFields
	Services  []serviceFields
	Control   *controlFields
}

// Parse parses one document strictly: unknown fields, duplicate keys and values
// out of range are faults. file is used only in faults.
func Parse(file string, text []byte) (*Document, []Fault) {
	if len(text) > MaxDocumentBytes {
		reason := fmt.Sprintf("the document has %d bytes; at most %d are read", len(text), MaxDocumentBytes)
		return nil, []Fault{{File: file, Line: 1, Field: "document", Reason: reason}}
	}
	d := &Document{file: file, text: bytes.Clone(text)}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, []Fault{d.syntaxFault(err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, []Fault{{File: file, Line: 1, Field: "document", Reason: "the file must hold exactly one YAML document"}}
	}
	d.tree = tree
	err = yaml.UnmarshalWithOptions(text, &d.body, yaml.Strict())
	if err != nil {
		return nil, []Fault{d.syntaxFault(err)}
	}
	d.kind = d.body.Document
	d.version = d.body.Version
	faults := d.validate()
	if len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// syntaxFault converts an error of the YAML library to a fault with its location.
func (d *Document) syntaxFault(err error) Fault {
	f := Fault{File: d.file, Line: 1, Field: "document", Reason: err.Error()}
	var located yaml.Error
	if !errors.As(err, &located) {
		return f
	}
	f.Reason = located.GetMessage()
	var wrongType *yaml.TypeError
	if errors.As(err, &wrongType) {
		f.Reason = fmt.Sprintf("expected %s, not %s", yamlTypeName(wrongType.DstType), yamlTypeName(wrongType.SrcType))
	}
	token := located.GetToken()
	if token == nil {
		return f
	}
	f.Line = token.Position.Line
	f.Field = strings.TrimSpace(token.Value)
	if d.tree != nil {
		if path := nodePath(d.tree, token.Position.Offset); path != "" {
			f.Field = path
		}
	}
	return f
}

// yamlTypeName describes the YAML type that a Go type is decoded from.
func yamlTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Map, reflect.Struct:
		return "a mapping"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

// nodePath returns the YAML path of the node whose token is at an offset, or "".
func nodePath(tree *ast.File, offset int) string {
	v := &pathFinder{offset: offset}
	for _, doc := range tree.Docs {
		ast.Walk(v, doc)
	}
	return strings.TrimPrefix(v.path, "$.")
}

type pathFinder struct {
	offset int
	path   string
}

// Visit records the path of the deepest node at the offset.
func (v *pathFinder) Visit(n ast.Node) ast.Visitor {
	if t := n.GetToken(); t != nil && t.Position.Offset == v.offset {
		v.path = n.GetPath()
	}
	return v
}

// fault returns a fault at a field, whose line is looked up by its path.
func (d *Document) fault(field, format string, args ...any) Fault {
	f := Fault{File: d.file, Line: 1, Field: field, Reason: fmt.Sprintf(format, args...)}
	f.Line = d.lineOf(field)
	return f
}

// lineOf returns the line of a field; when the field is absent, such as a missing
// "teams[1].name", it returns the line of the nearest enclosing node.
func (d *Document) lineOf(field string) int {
	for field != "" {
		path, err := yaml.PathString("$." + field)
		if err == nil {
			node, err := path.FilterFile(d.tree)
			if err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
	return 1
}
