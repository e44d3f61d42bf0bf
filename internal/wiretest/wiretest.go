// Package wiretest is test support: it holds messages between nodes and values of
// the store against recorded ones, so that nodes of two versions understand each
// other.
//
// A renamed or retyped field breaks neither the build nor a node of one version
// alone: gob drops what it does not know, without an error. So a type of the wire is
// recorded with every field set to a value that follows from the field's name, and
// today's type must read exactly that.
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

// folder is where the recordings lie, beside the test.
const fixtureDir = "testdata/wire"

// Gob checks a type that nodes exchange in encoding/gob: a recorded message is read
// whole, and the fields that are sent have the names and kinds that they had.
func Gob[T any](t *testing.T, name string) {
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
		t.Errorf("%s: the recorded message reads as\n%+v\nand not as\n%+v", name, got, want)
	}
	assertRecording(t, name+".fields", []byte(gobFields(reflect.TypeFor[T]())))
}

// FormerGob reads a message as a former version recorded it: fields that were added since
// are zero.
func FormerGob[T any](t *testing.T, name string) T {
	t.Helper()
	var got T
	if err := gob.NewDecoder(bytes.NewReader(readRecording(t, name+".former.gob"))).Decode(&got); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return got
}

// JSON checks a type that the store holds as JSON: a recorded value is read whole, and
// the same value is written byte for byte.
func JSON[T any](t *testing.T, name string) {
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
		t.Errorf("%s: read and written again as %s (%v), at first %s", name, reencoded, err, encoded)
	}
}

// Encoded checks a form of our own: the bytes of a filled value are the recorded ones,
// and decode reads the recorded ones as that value.
func Encoded[T any](t *testing.T, name string, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
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
		t.Errorf("%s: written as\n%x\nand not as\n%x", name, encoded, previous)
	}
	got, err := decode(previous)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: the recorded message reads as\n%+v\nand not as\n%+v", name, got, want)
	}
}

// recording reports whether the test was started with -update.
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

// recorded returns the bytes of a recording in hexadecimal digits.
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

// filled returns a value whose exported fields are all set, each by its path of names.
func newFilled[T any](t *testing.T, namer fieldNamer) T {
	t.Helper()
	var value T
	if err := namer.fill(reflect.ValueOf(&value).Elem(), "", 0); err != nil {
		t.Fatal(err)
	}
	return value
}

// naming returns the name that a field has in a form.
type fieldNamer func(field reflect.StructField) string

func goFieldName(field reflect.StructField) string { return field.Name }

func jsonFieldName(field reflect.StructField) string {
	if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
		return name
	}
	return field.Name
}

// maxDepth bounds types that hold themselves.
const maxDepth = 8

// number returns a number from 1 to 100 that follows from a path.
func hashNumber(path string) uint64 {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	return 1 + uint64(hash.Sum32())%100
}

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
		// not sent
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
		return fmt.Errorf("%s: kind %s is not known", path, value.Kind())
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

// fieldsOf lists the fields of a type as gob sends them: a line each with its path and
// the class of its kind.
func gobFields(goType reflect.Type) string {
	var text strings.Builder
	writeGobFields(&text, goType, "value", nil)
	return text.String()
}

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

// classOf returns what gob calls a type that has no parts.
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
