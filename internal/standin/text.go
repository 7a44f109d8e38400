package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// WeightsDigest identifies the content of the weight files that an answer is
// generated from.
type WeightsDigest string

const digestTextLength = 16

// TextPrefix is the start of the first token of every answer. The weights digest
// follows it.
const TextPrefix = "weights="

// requestID matches the request identifier in a prompt. The second token of the
// answer repeats it.
var requestID = regexp.MustCompile(`request-id=([A-Za-z0-9._-]+)`)

// DigestOfChunks returns the weights digest of a set of files from the digests
// of their chunks, sorted by file name and offset.
func DigestOfChunks(chunks []release.Digest) WeightsDigest {
	h := sha256.New()
	for _, d := range chunks {
		_, _ = io.WriteString(h, d.Hex())
	}
	return WeightsDigest(hex.EncodeToString(h.Sum(nil))[:digestTextLength])
}

// DigestOfManifest returns the weights digest that the intact files of a version
// have. A manifest lists its files sorted by name.
func DigestOfManifest(m manifest.Manifest) WeightsDigest {
	var chunks []release.Digest
	for _, f := range m.Files {
		for _, c := range f.Chunks {
			chunks = append(chunks, c.Digest)
		}
	}
	return DigestOfChunks(chunks)
}

// WithAdapter returns the digest of a base model combined with an adapter.
func (d WeightsDigest) WithAdapter(adapter WeightsDigest) WeightsDigest {
	sum := sha256.Sum256([]byte(string(d) + "+" + string(adapter)))
	return WeightsDigest(hex.EncodeToString(sum[:])[:digestTextLength])
}

// RequestID returns the request identifier in a prompt or an answer, or "" if
// there is none.
func RequestID(prompt string) string {
	if m := requestID.FindStringSubmatch(prompt); m != nil {
		return m[1]
	}
	return ""
}

// Token returns token i of the answer to prompt with the given weights. Every
// token except the first starts with a space.
func Token(weights WeightsDigest, prompt string, i int) string {
	switch i {
	case 0:
		return TextPrefix + string(weights)
	case 1:
		return " request-id=" + RequestID(prompt)
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%d|%s", weights, i, prompt))
	return fmt.Sprintf(" %d:%s", i, hex.EncodeToString(sum[:4]))
}

// Text returns the first n tokens of an answer.
func Text(weights WeightsDigest, prompt string, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(Token(weights, prompt, i))
	}
	return text.String()
}

// WeightsOfText returns the weights digest in the first token of an answer.
func WeightsOfText(text string) (WeightsDigest, bool) {
	first, _, _ := strings.Cut(text, " ")
	digest, ok := strings.CutPrefix(first, TextPrefix)
	return WeightsDigest(digest), ok && len(digest) == digestTextLength
}

// UserPrompt returns the prompt that an engine builds from a single user message.
func UserPrompt(content string) string { return promptLine("user", content) }

func promptLine(role, content string) string { return role + ": " + content + "\n" }

// DigestOfManifestFile reads a manifest file and returns its weights digest.
func DigestOfManifestFile(path string) (WeightsDigest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", oops.In("standin").Wrap(err)
	}
	m, err := manifest.Decode(data, release.DigestOf(data))
	return DigestOfManifest(m), oops.In("standin").Wrapf(err, "%s", path)
}
