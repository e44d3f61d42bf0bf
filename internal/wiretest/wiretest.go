// Package wiretest is a test helper that compares messages between nodes, and values in the
// store, with recorded ones. It ensures that nodes of different versions can communicate.
//
// Renaming a field or changing its type breaks neither the build nor a deployment of a single
// version, because gob ignores unknown fields without an error. Therefore each type on the wire
// is recorded with all fields set to values that are derived from the names of the fields. The
// current type must decode the recording to exactly these values.
package wiretest

import (
	"bytes"
	"encoding"
	"encoding/gob"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// fixtureDir is the directory of the recordings, relative to the package under test.
const fixtureDir = "testdata/wire"

// CheckGob checks a type that nodes exchange in encoding/gob. The recorded message must decode
// without loss, and the names and kinds of the encoded fields must match the recording.
func CheckGob[T any](t *testing.T, name string) {
	t.Helper()
	want := newFilled[T](t, goFieldName)
	if updating() {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(&want); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		writeRecording(t, name+".gob", []byte(hex.EncodeToString(encoded.Bytes())))
	}
	var got T
	if err := gob.NewDecoder(bytes.NewReader(readRecording(t, name+".gob"))).Decode(&got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: recorded message: got\n%+v\nwant\n%+v", name, got, want)
	}
	assertRecording(t, name+".fields", []byte(gobFields(reflect.TypeFor[T]())))
}

// DecodePreviousGob decodes a message that a previous version recorded. Fields that were added
// later are zero.
func DecodePreviousGob[T any](t *testing.T, name string) T {
	t.Helper()
	var got T
	if err := gob.NewDecoder(bytes.NewReader(readRecording(t, name+".former.gob"))).Decode(&got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return got
}

// CheckJSON checks a type that is stored as JSON. A filled value must encode to the recorded bytes,
// and decoding and encoding these bytes must reproduce them.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	want := newFilled[T](t, jsonFieldName)
	encoded, err := json.Marshal(want)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	assertRecording(t, name+".json", encoded)
	var got T
	if err := json.Unmarshal(encoded, &got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if reencoded, err := json.Marshal(got); err != nil || !bytes.Equal(reencoded, encoded) {
		t.Errorf("%s: decoded and encoded again: got %s (error %v), want %s", name, reencoded, err, encoded)
	}
}

// CheckEncoding checks a custom encoding. A filled value must encode to the recorded bytes, and the
// recorded bytes must decode to that value.
func CheckEncoding[T any](t *testing.T, name string, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	want := newFilled[T](t, goFieldName)
	encoded, err := encode(want)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if updating() {
		writeRecording(t, name+".bytes", []byte(hex.EncodeToString(encoded)))
	}
	previous := readRecording(t, name+".bytes")
	if !bytes.Equal(previous, encoded) {
		t.Errorf("%s: encoded value: got\n%x\nwant\n%x", name, encoded, previous)
	}
	got, err := decode(previous)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: recorded message: got\n%+v\nwant\n%+v", name, got, want)
	}
}

// updating reports whether the test was started with -update.
func updating() bool {
	update := flag.Lookup("update")
	return update != nil && update.Value.String() == "true"
}

func newGoldie(t *testing.T) *goldie.Goldie {
	return goldie.New(t, goldie.WithFixtureDir(fixtureDir), goldie.WithNameSuffix(""))
}

func writeRecording(t *testing.T, file string, content []byte) {
	t.Helper()
	if err := newGoldie(t).Update(t, file, content); err != nil {
		t.Fatal(err)
	}
}

func assertRecording(t *testing.T, file string, content []byte) {
	t.Helper()
	newGoldie(t).Assert(t, file, content)
}

// readRecording decodes a recording, which is stored as hexadecimal digits.
func readRecording(t *testing.T, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(fixtureDir, file))
	if err != nil {
		t.Fatal(err)
	}
	content, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return content
}

// newFilled returns a value whose exported fields are set to values derived from their paths.
func newFilled[T any](t *testing.T, namer fieldNamer) T {
	t.Helper()
	var value T
	if err := namer.fill(reflect.ValueOf(&value).Elem(), "", 0); err != nil {
		t.Fatal(err)
	}
	return value
}

// fieldNamer returns the name of a field in an encoding.
type fieldNamer func(field reflect.StructField) string

func goFieldName(field reflect.StructField) string { return field.Name }

func jsonFieldName(field reflect.StructField) string {
	if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
		return name
	}
	return field.Name
}

// maxDepth limits the nesting of recursive types.
const maxDepth = 8

// hashNumber returns a number from 1 to 100 that depends only on the path.
func hashNumber(path string) uint64 {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	return 1 + uint64(hash.Sum32())%100
}

// fill sets a value, and recursively its elements and fields, to values derived from the path.
func (n fieldNamer) fill(value reflect.Value, path string, depth int) error {
	if depth > maxDepth {
		return nil
	}
	switch value.Interface().(type) {
	case netip.Addr:
		value.Set(reflect.ValueOf(netip.AddrFrom4([4]byte{10, 0, 0, byte(hashNumber(path))})))
		return nil
	case netip.AddrPort:
		value.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(hashNumber(path)))))
		return nil
	case time.Time:
		value.Set(reflect.ValueOf(time.Unix(int64(hashNumber(path)), 0).UTC()))
		return nil
	}
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(hashNumber(path)))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(hashNumber(path))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(hashNumber(path)) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("s%d", hashNumber(path)))
	case reflect.Func, reflect.Chan, reflect.Interface:
		// These kinds are not encoded.
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		return n.fill(value.Elem(), path, depth+1)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		return n.fillElements(value, path, depth)
	case reflect.Array:
		return n.fillElements(value, path, depth)
	case reflect.Map:
		return n.fillMap(value, path, depth)
	case reflect.Struct:
		return n.fillFields(value, path, depth)
	default:
		return fmt.Errorf("fill %s: unsupported kind %s", path, value.Kind())
	}
	return nil
}

func (n fieldNamer) fillElements(value reflect.Value, path string, depth int) error {
	for index := range value.Len() {
		if err := n.fill(value.Index(index), fmt.Sprintf("%s[%d]", path, index), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func (n fieldNamer) fillMap(value reflect.Value, path string, depth int) error {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	if err := n.fill(key, path+".key", depth+1); err != nil {
		return err
	}
	if err := n.fill(element, path+".element", depth+1); err != nil {
		return err
	}
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
	return nil
}

func (n fieldNamer) fillFields(value reflect.Value, path string, depth int) error {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		if !field.IsExported() {
			continue
		}
		if err := n.fill(value.Field(index), path+"."+n(field), depth+1); err != nil {
			return err
		}
	}
	return nil
}

// gobFields lists the fields of a type that gob encodes. Each line has the path of a field and its
// class, as returned by gobClass.
func gobFields(goType reflect.Type) string {
	var text strings.Builder
	writeGobFields(&text, goType, "value", nil)
	return text.String()
}

// writeGobFields writes the fields of a type below path. A type that occurs within itself is
// written as a reference to the line of the outer occurrence.
func writeGobFields(text *strings.Builder, goType reflect.Type, path string, enclosing []reflect.Type) {
	for goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	for _, outer := range enclosing {
		if outer == goType {
			fmt.Fprintf(text, "%s as above\n", path)
			return
		}
	}
	if class, isLeaf := gobClass(goType); isLeaf {
		fmt.Fprintf(text, "%s %s\n", path, class)
		return
	}
	enclosing = append(enclosing, goType)
	switch goType.Kind() {
	case reflect.Slice, reflect.Array:
		writeGobFields(text, goType.Elem(), path+"[]", enclosing)
	case reflect.Map:
		writeGobFields(text, goType.Key(), path+".key", enclosing)
		writeGobFields(text, goType.Elem(), path+".element", enclosing)
	case reflect.Struct:
		for index := range goType.NumField() {
			field := goType.Field(index)
			kind := field.Type.Kind()
			if field.IsExported() && kind != reflect.Func && kind != reflect.Chan {
				writeGobFields(text, field.Type, path+"."+field.Name, enclosing)
			}
		}
	default:
		fmt.Fprintf(text, "%s %s\n", path, goType.Kind())
	}
}

// gobClass returns the gob class of a type without elements or fields. It returns false for other
// types.
func gobClass(goType reflect.Type) (string, bool) {
	marshaler := reflect.TypeFor[encoding.BinaryMarshaler]()
	encoder := reflect.TypeFor[gob.GobEncoder]()
	if goType.Implements(encoder) || goType.Implements(marshaler) {
		return "binary", true
	}
	switch goType.Kind() {
	case reflect.Bool:
		return "bool", true
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "int", true
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "uint", true
	case reflect.Float32, reflect.Float64:
		return "float", true
	case reflect.String:
		return "string", true
	case reflect.Slice:
		return "bytes", goType.Elem().Kind() == reflect.Uint8
	default:
		return "", false
	}
}
