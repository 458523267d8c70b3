// Package strictjson decodes JSON into Go structs and reports every fault with its JSON
// path: unknown and duplicate fields, wrong types and numbers out of range. The decoder of
// encoding/json stops at the first fault, ignores duplicate fields and matches field names
// in any case.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	Path   string `json:"path"`   // JSON path, such as $.tenants[2].limit.rate
	Reason string `json:"reason"` // what is wrong there
}

// Error returns the path and the reason.
func (f Fault) Error() string { return f.Path + ": " + f.Reason }

// Faults collects the faults of one document.
type Faults []Fault

// Add appends a fault at path with a formatted reason.
func (fs *Faults) Add(path, format string, args ...any) {
	*fs = append(*fs, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Root is the JSON path of the whole document.
const Root = "$"

// maxDepth is the maximum nesting of a document.
const maxDepth = 32

// Decode decodes data into the struct that v points to. It returns every fault that it
// finds, except that a syntax error ends the search. If there are faults, it leaves *v
// unchanged, unless the final decoding itself fails.
func Decode(data []byte, v any) Faults {
	d := decoder{json: json.NewDecoder(bytes.NewReader(data))}
	d.json.UseNumber()
	tree, ok := d.value(Root, 0)
	if !ok {
		return d.faults
	}
	if _, err := d.json.Token(); err != io.EOF {
		d.faults.Add(Root, "data after the document at byte %d", d.json.InputOffset())
		return d.faults
	}
	d.check(Root, tree, reflect.TypeOf(v).Elem())
	if len(d.faults) > 0 {
		return d.faults
	}
	if err := json.Unmarshal(data, v); err != nil {
		d.faults.Add(Root, "%v", err)
	}
	return d.faults
}

// decoder reads a document and collects its faults.
type decoder struct {
	json   *json.Decoder
	faults Faults
}

// object is a JSON object with its field names in the order of the document.
type object struct {
	names  []string
	values map[string]any
}

// value reads one JSON value. It returns false after a syntax error.
func (d *decoder) value(path string, depth int) (any, bool) {
	if depth > maxDepth {
		d.faults.Add(path, "nested deeper than %d", maxDepth)
		return nil, false
	}
	tok, err := d.json.Token()
	if err != nil {
		d.faults.Add(path, "not JSON at byte %d: %v", d.json.InputOffset(), err)
		return nil, false
	}
	switch tok {
	case json.Delim('{'):
		return d.object(path, depth)
	case json.Delim('['):
		return d.array(path, depth)
	default:
		return tok, true
	}
}

func (d *decoder) object(path string, depth int) (any, bool) {
	o := object{values: map[string]any{}}
	for d.json.More() {
		tok, err := d.json.Token()
		if err != nil {
			d.faults.Add(path, "not JSON at byte %d: %v", d.json.InputOffset(), err)
			return nil, false
		}
		name := tok.(string)
		v, ok := d.value(path+"."+name, depth+1)
		if !ok {
			return nil, false
		}
		if _, duplicate := o.values[name]; duplicate {
			d.faults.Add(path+"."+name, "field given twice")
		} else {
			o.names = append(o.names, name)
		}
		o.values[name] = v
	}
	return o, d.end(path)
}

func (d *decoder) array(path string, depth int) (any, bool) {
	var items []any
	for d.json.More() {
		v, ok := d.value(fmt.Sprintf("%s[%d]", path, len(items)), depth+1)
		if !ok {
			return nil, false
		}
		items = append(items, v)
	}
	return items, d.end(path)
}

func (d *decoder) end(path string) bool {
	if _, err := d.json.Token(); err != nil {
		d.faults.Add(path, "not JSON at byte %d: %v", d.json.InputOffset(), err)
		return false
	}
	return true
}

// check reports the faults of a value as an instance of type t.
func (d *decoder) check(path string, tree any, t reflect.Type) {
	if tree == nil {
		d.faults.Add(path, "null is not allowed; leave the field out")
		return
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		d.checkText(path, tree, t)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		d.check(path, tree, t.Elem())
	case reflect.Struct:
		d.checkStruct(path, tree, t)
	case reflect.Slice:
		d.checkSlice(path, tree, t)
	case reflect.Map:
		d.checkMap(path, tree, t)
	default:
		d.checkScalar(path, tree, t)
	}
}

func (d *decoder) checkText(path string, tree any, t reflect.Type) {
	s, ok := tree.(string)
	if !ok {
		d.faults.Add(path, "want a string, not %s", jsonKind(tree))
		return
	}
	u := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.faults.Add(path, "%v", err)
	}
}

func (d *decoder) checkStruct(path string, tree any, t reflect.Type) {
	o, ok := tree.(object)
	if !ok {
		d.faults.Add(path, "want an object, not %s", jsonKind(tree))
		return
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	for _, name := range o.names {
		ft, known := fields[name]
		if !known {
			d.faults.Add(path+"."+name, "unknown field")
			continue
		}
		d.check(path+"."+name, o.values[name], ft)
	}
}

func (d *decoder) checkSlice(path string, tree any, t reflect.Type) {
	items, ok := tree.([]any)
	if !ok {
		d.faults.Add(path, "want an array, not %s", jsonKind(tree))
		return
	}
	for i, item := range items {
		d.check(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
	}
}

func (d *decoder) checkMap(path string, tree any, t reflect.Type) {
	o, ok := tree.(object)
	if !ok {
		d.faults.Add(path, "want an object, not %s", jsonKind(tree))
		return
	}
	for _, name := range o.names {
		d.check(path+"."+name, o.values[name], t.Elem())
	}
}

func (d *decoder) checkScalar(path string, tree any, t reflect.Type) {
	raw, err := json.Marshal(tree)
	if err != nil {
		d.faults.Add(path, "want %s, not %s", typeName(t), jsonKind(tree))
		return
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		d.faults.Add(path, "want %s, not %s", typeName(t), describe(tree))
	}
}

// typeName describes the JSON values that decode into a scalar of type t.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 up"
	default:
		return "a whole number"
	}
}

// jsonKind describes the JSON type of a value.
func jsonKind(tree any) string {
	switch tree.(type) {
	case object:
		return "an object"
	case []any:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	default:
		return "a number"
	}
}

// describe returns a number as it is written, and the JSON type of any other value.
func describe(tree any) string {
	if n, ok := tree.(json.Number); ok {
		return n.String()
	}
	return jsonKind(tree)
}
