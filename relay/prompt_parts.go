package relay

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxPromptParts bounds the parts of a prompt that are read.
	maxPromptParts = 64
	// maxPartIDBytes bounds the id of a part, because a report must fit into a datagram.
	maxPartIDBytes = 32
)

// parsePromptParts parses the values of the header that names the parts of a prompt.
func parsePromptParts(values []string) []ident.PromptPart {
	var parts []ident.PromptPart
	for _, value := range values {
		if value == "" {
			continue
		}
		for item := range strings.SplitSeq(value, ",") {
			if len(parts) == maxPromptParts {
				return parts
			}
			parts = append(parts, parsePromptPart(item))
		}
	}
	return parts
}

// parsePromptPart returns the id of one part, written as ID:TOKENS with the id in hex. Any other id is replaced by its digest: the engine may
// accept it, but reports are encoded as text of bounded length.
func parsePromptPart(item string) ident.PromptPart {
	id, _, _ := strings.Cut(item, ":")
	id = strings.TrimSpace(id)
	if id == "" || len(id) > maxPartIDBytes || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return ident.PromptPart("xxh64-" + strconv.FormatUint(xxhash.Sum64String(id), 16))
	}
	return ident.PromptPart(strings.ToLower(id))
}
