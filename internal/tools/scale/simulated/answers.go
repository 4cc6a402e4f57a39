package simulated

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"stairvane.org/stairvane/internal/protocol/discovery"
)

// maxDecoded bounds the decoded answers in the cache.
const maxDecoded = 256

// personalPart begins what an answer has for one director alone: its grant. All before it is the same for all that ask alike.
var personalPart = []byte(`],"turns":`)

// answers decodes the answers to the directors of a process. On machines of their own each would decode its own; here the part
// that many are sent alike is decoded once.
type answers struct {
	decoded map[uint64]discovery.WatchResponse
}

func newAnswers() answers { return answers{decoded: map[uint64]discovery.WatchResponse{}} }

// decode decodes the body of an answer. The items must not be changed. An event that can't be read is an error.
func (a *answers) decode(body []byte) (discovery.WatchResponse, error) {
	shared, grant := body, []byte(nil)
	if at := bytes.LastIndex(body, personalPart); at >= 0 {
		shared = body[:at+1]
		grant = body[at+len(personalPart) : len(body)-1]
	}
	feed, err := a.decodeShared(shared, len(grant) > 0)
	if len(grant) > 0 {
		feed.QuotaGrant = json.RawMessage(grant)
	}
	return feed, err
}

// decodeShared decodes the shared part; cut tells that the closing brace is missing.
func (a *answers) decodeShared(shared []byte, cut bool) (discovery.WatchResponse, error) {
	key := xxhash.Sum64(shared)
	if feed, known := a.decoded[key]; known {
		return feed, nil
	}
	complete := shared
	if cut {
		complete = append(bytes.Clone(shared), '}')
	}
	feed, err := discovery.Decode(complete)
	if err != nil {
		return feed, err
	}
	if len(feed.Malformed) > 0 {
		return feed, feed.Malformed[0]
	}
	if len(a.decoded) >= maxDecoded {
		clear(a.decoded)
	}
	a.decoded[key] = feed
	return feed, nil
}
