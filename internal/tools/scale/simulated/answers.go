package simulated

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"stairvane.org/stairvane/internal/protocol/discovery"
)

// maxDecodedAnswers is the number of decoded answers at which the decoder clears its cache.
const maxDecodedAnswers = 256

// grantSeparator precedes the part of an answer that is specific to one director: its quota grant. The part before it is identical in
// all answers to directors that made the same request.
var grantSeparator = []byte(`],"turns":`)

// answerDecoder decodes the answers to the directors of a process. Real directors on separate machines each decode their own; here
// the part that many answers have in common is decoded once.
type answerDecoder struct {
	decoded map[uint64]discovery.WatchResponse // by hash of the common part
}

func newAnswerDecoder() answerDecoder {
	return answerDecoder{decoded: map[uint64]discovery.WatchResponse{}}
}

// decode decodes the body of an answer. The caller must not modify the events, because other answers share them. A malformed event is
// an error.
func (a *answerDecoder) decode(body []byte) (discovery.WatchResponse, error) {
	shared, grant := body, []byte(nil)
	if at := bytes.LastIndex(body, grantSeparator); at >= 0 {
		shared = body[:at+1]
		grant = body[at+len(grantSeparator) : len(body)-1]
	}
	response, err := a.decodeShared(shared, len(grant) > 0)
	if len(grant) > 0 {
		response.QuotaGrant = json.RawMessage(grant)
	}
	return response, err
}

// decodeShared decodes the common part of an answer. truncated means that its closing brace is missing.
func (a *answerDecoder) decodeShared(shared []byte, truncated bool) (discovery.WatchResponse, error) {
	key := xxhash.Sum64(shared)
	if response, found := a.decoded[key]; found {
		return response, nil
	}
	complete := shared
	if truncated {
		complete = append(bytes.Clone(shared), '}')
	}
	response, err := discovery.Decode(complete)
	if err != nil {
		return response, err
	}
	if len(response.Malformed) > 0 {
		return response, response.Malformed[0]
	}
	if len(a.decoded) >= maxDecodedAnswers {
		clear(a.decoded)
	}
	a.decoded[key] = response
	return response, nil
}
