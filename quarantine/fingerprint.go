package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// callerFields are the fields of a chat request that identify the caller or
// select how the answer is delivered, and do not affect the computation.
// Fingerprints leave them out, so that a resend with another user name or
// without streaming has the same fingerprint.
var callerFields = []string{
	"user", "metadata", "store", "stream", "stream_options", "resume_from_token",
	"safety_identifier", "prompt_cache_key", "service_tier",
}

// Fingerprint returns the SHA-256 digest, in hex, of a path and a request body.
// A JSON object is hashed in canonical form: sorted fields, no white space, and
// without the fields that depend on the caller. Other bodies are hashed as they
// are.
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
