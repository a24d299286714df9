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
	// maxPartIDBytes bounds the id of a part; longer ones are replaced by their digest, because a report must fit into a datagram.
	maxPartIDBytes = 32
)

// parsePromptParts parses the values of the header that names the parts of a prompt. Malformed parts are kept as they are: an engine
// decides by itself what it makes of them.
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

// parsePromptPart returns the id of one part, written as ID:TOKENS with the id in hex.
func parsePromptPart(item string) ident.PromptPart {
	id, _, _ := strings.Cut(item, ":")
	id = strings.TrimSpace(id)
	if len(id) > maxPartIDBytes {
		return ident.PromptPart("xxh64-" + strconv.FormatUint(xxhash.Sum64String(strings.ToLower(id)), 16))
	}
	return ident.PromptPart(strings.ToLower(id))
}
