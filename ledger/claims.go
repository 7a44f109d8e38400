package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// Memory limits.
const (
	// maxClaims is the maximum number of claims within retention. Further claims
	// are refused, which is safe because their calls do not run.
	maxClaims = 1 << 18
	// maxBodyBytes is the maximum total size of recorded response bodies. The
	// oldest bodies are dropped first; their claims stay completed without a body.
	maxBodyBytes = 16 << 20
	// maxExpiredHashes is the maximum number of hashes of expired keys that are
	// kept outside the Bloom filter, 8 MiB.
	maxExpiredHashes = 1 << 20
	bloomBytes       = 8 << 20
	bloomProbes      = 7
	hashBytes        = 8
	digestBytes      = sha256.Size
	maxKeyBytes      = 512
)

var snapshotEncMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// snapshotDecMode allows larger arrays and maps than the decoding of messages.
var snapshotDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: maxClaims + 1, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// claimRecord is the claim of a key within retention.
type claimRecord struct {
	Organisation string         `cbor:"1,keyasint"`
	Key          string         `cbor:"2,keyasint"`
	Digest       release.Digest `cbor:"3,keyasint"`
	Owner        string         `cbor:"4,keyasint"`
	AtMs         int64          `cbor:"5,keyasint"`
	Result       *CompleteClaim `cbor:"6,keyasint,omitempty"`
}

type claimKey struct{ organisation, key string }

type claims struct {
	held       map[claimKey]*claimRecord
	order      []*claimRecord // by AtMs; may contain released claims
	bodies     []*claimRecord // claims with a response body, oldest first
	bodyBytes  int
	expired    []uint64            // hashes of expired keys, oldest first
	expiredSet map[uint64]struct{} // the hashes in expired
	bloom      []byte              // Bloom filter of older hashes
	bloomCount uint64              // number of hashes in the filter
}

func newClaims() claims {
	return claims{held: map[claimKey]*claimRecord{}, expiredSet: map[uint64]struct{}{}}
}

func (k *claims) claim(c Claim, nowMs int64) Result {
	if c.Organisation == "" || c.Key == "" || c.Owner == "" || len(c.Organisation)+len(c.Key) > maxKeyBytes {
		return refused("claim without organisation, key or owner, or with a key that is too long")
	}
	id := claimKey{c.Organisation, c.Key}
	if held := k.held[id]; held != nil {
		return held.answer(c)
	}
	if k.isExpired(keyHash(id)) || (c.KeyTimeMs > 0 && c.KeyTimeMs <= nowMs-ClaimRetentionMs) {
		return Result{Status: StatusExpired, Reason: "key is past its retention of 24 h"}
	}
	if len(k.held) >= maxClaims {
		return refused("too many claims within retention")
	}
	record := &claimRecord{Organisation: c.Organisation, Key: c.Key, Digest: c.RequestDigest, Owner: c.Owner, AtMs: nowMs}
	k.held[id] = record
	k.order = append(k.order, record)
	return Result{Status: StatusAccepted, Owner: c.Owner}
}

// lookup returns the result that a claim of the key would have, without claiming
// it.
func (k *claims) lookup(q LookupClaim) Result {
	id := claimKey{q.Organisation, q.Key}
	if held := k.held[id]; held != nil {
		return held.answer(Claim{RequestDigest: held.Digest})
	}
	if k.isExpired(keyHash(id)) {
		return Result{Status: StatusExpired, Reason: "key is past its retention of 24 h"}
	}
	return refused("key is not claimed")
}

// answer returns the result of a further claim of a claimed key.
func (r *claimRecord) answer(c Claim) Result {
	switch {
	case r.Digest != c.RequestDigest:
		return Result{Status: StatusConflict, Owner: r.Owner, Reason: "key was used for another request"}
	case r.Result != nil:
		return Result{Status: StatusCompleted, Owner: r.Owner, Complete: r.Result}
	case r.Owner == c.Owner:
		return Result{Status: StatusAccepted, Owner: r.Owner}
	}
	return Result{Status: StatusDuplicate, Owner: r.Owner}
}

// complete records the first result of a call. Later calls return that result.
func (k *claims) complete(c CompleteClaim) Result {
	id := claimKey{c.Organisation, c.Key}
	held := k.held[id]
	switch {
	case held == nil:
		return refused("key is not claimed")
	case held.Result != nil:
		return Result{Status: StatusCompleted, Owner: held.Owner, Complete: held.Result}
	case held.Owner != c.Owner:
		return refused("key is claimed by another attempt")
	}
	if c.Outcome == outcomeNotRun {
		delete(k.held, id)
		k.dropReleased()
		return Result{Status: StatusAccepted, Owner: c.Owner}
	}
	if len(c.Body) > MaxResultBytes {
		c.Body = nil
	}
	held.Result = &c
	k.storeBody(held)
	return Result{Status: StatusCompleted, Owner: c.Owner, Complete: held.Result}
}

const outcomeNotRun = "not-run"

// dropReleased removes released claims from the order once they outnumber the
// held ones by more than releasedSlack, so that claiming and releasing a key
// repeatedly does not grow memory.
func (k *claims) dropReleased() {
	if len(k.order) <= 2*len(k.held)+releasedSlack {
		return
	}
	k.order = slices.DeleteFunc(k.order, func(r *claimRecord) bool {
		return k.held[claimKey{r.Organisation, r.Key}] != r
	})
}

const releasedSlack = 1024

func (k *claims) storeBody(r *claimRecord) {
	if len(r.Result.Body) == 0 {
		return
	}
	k.bodies = append(k.bodies, r)
	k.bodyBytes += len(r.Result.Body)
	for k.bodyBytes > maxBodyBytes {
		k.dropBody(k.bodies[0])
		k.bodies = k.bodies[1:]
	}
}

func (k *claims) dropBody(r *claimRecord) {
	if len(r.Result.Body) == 0 {
		return
	}
	k.bodyBytes -= len(r.Result.Body)
	without := *r.Result // results already returned keep their body
	without.Body = nil
	r.Result = &without
}

// expire replaces claims whose retention has passed by hashes of their keys.
func (k *claims) expire(nowMs int64) {
	for len(k.order) > 0 && k.order[0].AtMs <= nowMs-ClaimRetentionMs {
		r := k.order[0]
		k.order = k.order[1:]
		id := claimKey{r.Organisation, r.Key}
		if k.held[id] != r {
			continue // released
		}
		delete(k.held, id)
		if r.Result != nil {
			k.dropBody(r)
		}
		k.addExpired(keyHash(id))
	}
	for len(k.bodies) > 0 && len(k.bodies[0].Result.Body) == 0 {
		k.bodies = k.bodies[1:]
	}
}

func (k *claims) addExpired(h uint64) {
	k.expired = append(k.expired, h)
	k.expiredSet[h] = struct{}{}
	for len(k.expired) > maxExpiredHashes {
		k.moveToBloom(k.expired[0])
		delete(k.expiredSet, k.expired[0])
		k.expired = k.expired[1:]
	}
}

func (k *claims) moveToBloom(h uint64) {
	if k.bloom == nil {
		k.bloom = make([]byte, bloomBytes)
	}
	k.bloomCount++
	for _, bit := range bloomBits(h) {
		k.bloom[bit/8] |= 1 << (bit % 8)
	}
}

func (k *claims) isExpired(h uint64) bool {
	if _, ok := k.expiredSet[h]; ok {
		return true
	}
	if k.bloom == nil {
		return false
	}
	for _, bit := range bloomBits(h) {
		if k.bloom[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// bloomBits returns the bit positions of a hash, derived by double hashing.
func bloomBits(h uint64) [bloomProbes]uint64 {
	var bits [bloomProbes]uint64
	step := h>>32 | 1
	for i := range bits {
		bits[i] = (h + uint64(i)*step) % (bloomBytes * 8)
	}
	return bits
}

func keyHash(id claimKey) uint64 {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%s", len(id.organisation), id.organisation, id.key)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

func appendHash(to []byte, h uint64) []byte { return binary.BigEndian.AppendUint64(to, h) }

func (k *claims) outcome(organisation, key string, nowMs int64) (ClaimState, bool) {
	id := claimKey{organisation, key}
	if r := k.held[id]; r != nil && r.AtMs > nowMs-ClaimRetentionMs {
		status := StatusAccepted
		if r.Result != nil {
			status = StatusCompleted
		}
		return ClaimState{Status: status, Owner: r.Owner, Complete: r.Result}, true
	}
	if k.isExpired(keyHash(id)) {
		return ClaimState{Status: StatusExpired}, true
	}
	return ClaimState{}, false
}

// ordered returns the held claims, oldest first.
func (k *claims) ordered() []claimRecord {
	records := make([]claimRecord, 0, len(k.held))
	for _, r := range k.order {
		if k.held[claimKey{r.Organisation, r.Key}] == r {
			records = append(records, *r)
		}
	}
	return records
}

func (k *claims) restore(s snapshotState) {
	for i := range s.Claims {
		r := &s.Claims[i]
		k.held[claimKey{r.Organisation, r.Key}] = r
		k.order = append(k.order, r)
		if r.Result != nil {
			k.storeBody(r)
		}
	}
	for chunk := range slices.Chunk(s.Expired, hashBytes) {
		h := binary.BigEndian.Uint64(chunk)
		k.expired = append(k.expired, h)
		k.expiredSet[h] = struct{}{}
	}
	k.bloom, k.bloomCount = s.Filter, s.Filtered
}

func rawDigest(d release.Digest) ([]byte, error) {
	raw, err := hex.DecodeString(strings.TrimPrefix(string(d), "sha256:"))
	if err != nil || len(raw) != digestBytes {
		return nil, fmt.Errorf("digest %q is malformed", d)
	}
	return raw, nil
}

func digestFromRaw(raw []byte) release.Digest {
	return release.Digest("sha256:" + hex.EncodeToString(raw))
}
