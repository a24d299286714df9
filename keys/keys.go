package keys

// Keys are 256 random bits, so a plain SHA-256 is enough to store: there is
// nothing to guess. A presented key is compared with every stored hash in
// constant time, so the time of an answer tells nothing about them.

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	keyBytes   = 32
	keyPrefix  = "dq-"
	authScheme = "Bearer "
)

// New returns a random key.
func New() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // It never fails: the runtime ends the program instead.
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// Hash returns the SHA-256 of key in hex, as settings store it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

type entry[T any] struct {
	hash  [sha256.Size]byte
	owner T
}

// Ring finds the owner of a key.
type Ring[T any] struct {
	entries []entry[T]
}

// Add lets the key with this hash (hex, checked with the settings) name owner.
func (r *Ring[T]) Add(hash string, owner T) {
	var e entry[T]
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != len(e.hash) {
		return
	}
	copy(e.hash[:], b)
	e.owner = owner
	r.entries = append(r.entries, e)
}

// Find returns the owner of key; every entry is compared whatever the others gave.
func (r *Ring[T]) Find(key string) (owner T, ok bool) {
	sum := sha256.Sum256([]byte(key))
	for i := range r.entries {
		if subtle.ConstantTimeCompare(sum[:], r.entries[i].hash[:]) == 1 {
			owner, ok = r.entries[i].owner, true
		}
	}
	return owner, ok
}

// Bearer returns the key that a request presents, or nothing.
func Bearer(r *http.Request) string {
	h := r.Header.Get("Authorization")
	if len(h) < len(authScheme) || !strings.EqualFold(h[:len(authScheme)], authScheme) {
		return ""
	}
	return h[len(authScheme):]
}
