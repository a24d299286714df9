package settings

// The standard decoder stops at its first fault and gives byte offsets at
// best. An operator wants every fault at once, each with its line, so the
// syntax tree of the library is walked here side by side with the Go value:
//
//	{"name": 3, "hal": "x"}
//	f.json:1:10: 1003 settings-type: name: wants a string, has a number
//	f.json:1:13: 1002 settings-unknown-key: hal: no such key; did you mean "hall"?

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/dunlinquay/dunlinquay/result"
)

type decoder struct {
	file    string
	content []byte
	faults  Faults
	// offsets remembers where each path stands, so that later checks can name the place too.
	offsets map[string]int
}

func (d *decoder) faultf(offset int, path string, code result.Code, format string, args ...any) {
	before := d.content[:min(offset, len(d.content))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
	if path == "" {
		path = "(file)"
	}
	d.faults = append(d.faults, Fault{d.file, line, column, path, code, fmt.Sprintf(format, args...)})
}

// atf reports a fault at the place of path, or of its nearest parent that stands in the file.
func (d *decoder) atf(path string, code result.Code, format string, args ...any) {
	for p := path; ; p = parentPath(p) {
		if offset, ok := d.offsets[p]; ok {
			d.faultf(offset, path, code, format, args...)
			return
		}
		if p == "" {
			d.faultf(0, path, code, format, args...)
			return
		}
	}
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

var durationType = reflect.TypeFor[Duration]()

func (d *decoder) value(v *hujson.Value, path string, into reflect.Value) {
	d.offsets[path] = v.StartOffset
	if into.Type() == durationType {
		d.duration(v, path, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.object(v, path, into)
	case reflect.Map:
		d.mapping(v, path, into)
	case reflect.Slice:
		d.array(v, path, into)
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(v, path, into.Elem())
	default:
		d.literal(v, path, into)
	}
}

func (d *decoder) object(v *hujson.Value, path string, into reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		key := memberName(m)
		p := joinPath(path, key)
		field, ok := fieldByKey(into, key)
		switch {
		case !ok:
			d.faultf(m.Name.StartOffset, p, result.SettingsUnknownKey, "no such key%s", suggest(into, key))
		case seen[key]:
			d.faultf(m.Name.StartOffset, p, result.SettingsConflict, "the key stands twice")
		default:
			d.value(&m.Value, p, field)
		}
		seen[key] = true
	}
}

func memberName(m *hujson.ObjectMember) string {
	return m.Name.Value.(hujson.Literal).String()
}

func (d *decoder) mapping(v *hujson.Value, path string, into reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	for i := range o.Members {
		m := &o.Members[i]
		item := reflect.New(into.Type().Elem()).Elem()
		d.value(&m.Value, joinPath(path, memberName(m)), item)
		into.SetMapIndex(reflect.ValueOf(memberName(m)).Convert(into.Type().Key()), item)
	}
}

func (d *decoder) array(v *hujson.Value, path string, into reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.value(&a.Elements[i], path+"["+strconv.Itoa(i)+"]", into.Index(i))
	}
}

func (d *decoder) literal(v *hujson.Value, path string, into reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.wrongType(v, path, wanted(into))
		return
	}
	switch kind := lit.Kind(); {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(lit.String())
	case into.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		into.SetBool(lit.Bool())
	case into.Kind() == reflect.Float64 && kind == '0':
		into.SetFloat(lit.Float())
	case into.Kind() == reflect.Int && kind == '0':
		d.integer(v, lit, path, into)
	default:
		d.wrongType(v, path, wanted(into))
	}
}

func (d *decoder) integer(v *hujson.Value, lit hujson.Literal, path string, into reflect.Value) {
	f := lit.Float()
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32*1024 {
		d.wrongType(v, path, "a whole number")
		return
	}
	into.SetInt(int64(f))
}

func (d *decoder) duration(v *hujson.Value, path string, into reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.wrongType(v, path, `a duration such as "1.5s"`)
		return
	}
	t, err := time.ParseDuration(lit.String())
	if err != nil {
		d.faultf(v.StartOffset, path, result.SettingsValue, "%q is not a duration such as \"1.5s\"", lit.String())
		return
	}
	into.SetInt(int64(t))
}

func wanted(into reflect.Value) string {
	switch into.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}

func (d *decoder) wrongType(v *hujson.Value, path, want string) {
	d.faultf(v.StartOffset, path, result.SettingsType, "wants %s, has %s", want, has(v))
}

func has(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	default:
		return "a number"
	}
}

func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

func fieldByKey(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if keyOf(into.Type().Field(i)) == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// suggest names the known key that shares the longest start with a misspelt one.
func suggest(into reflect.Value, key string) string {
	best, length := "", 1
	for i := range into.NumField() {
		known := keyOf(into.Type().Field(i))
		if n := commonPrefix(known, key); n > length {
			best, length = known, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

func commonPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// parse returns the syntax tree, or reports the place of the syntax fault.
func (d *decoder) parse() (*hujson.Value, bool) {
	v, err := hujson.Parse(d.content)
	if err != nil {
		line, column := syntaxPlace(err)
		d.faults = append(d.faults, Fault{d.file, line, column, "(file)", result.SettingsSyntax, err.Error()})
		return nil, false
	}
	return &v, true
}

func syntaxPlace(err error) (line, column int) {
	line, column = 1, 1
	_, _ = fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &line, &column)
	return line, column
}

// Duration is a time span written as a Go duration string.
type Duration time.Duration

// MarshalJSON returns the duration as a string such as "1.5s".
func (t Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(t).String())
}

// Std returns the standard library's type.
func (t Duration) Std() time.Duration {
	return time.Duration(t)
}
