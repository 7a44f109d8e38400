package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// callerFields of a chat request say who asks or how the answer is delivered,
// not what is computed. They are left out of fingerprints, so that a resend
// with another user name or without stream is still known.
var callerFields = []string{
	"user", "metadata", "store", "stream", "stream_options", "resume_from_token",
	"safety_identifier", "prompt_cache_key", "service_tier",
}

// Fingerprint returns the fingerprint of a request body sent to a path. A JSON
// object is taken in canonical form: fields sorted, white space removed, the
// fields that depend on the caller left out.
func Fingerprint(path string, body []byte) string {
	content := body
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.UseNumber()
	if decoder.Decode(&fields) == nil && fields != nil {
		for _, name := range callerFields {
			delete(fields, name)
		}
		if canonical, err := json.Marshal(fields); err == nil {
			content = canonical
		}
	}
	h := sha256.New()
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(content)
	return hex.EncodeToString(h.Sum(nil))
}
