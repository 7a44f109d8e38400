package loadtool

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/semaphore"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
)

const (
	lookupTimeout  = 2 * time.Second
	maxLookupBytes = 1 << 20
	fallbackTTL    = time.Second // used when every entry failed to answer a lookup
	maxIdleConns   = 4096
)

func newHTTPClient(n network.Network) *http.Client {
	transport := network.HTTPTransport(n)
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = maxIdleConns, maxIdleConns
	return &http.Client{Transport: transport}
}

// addressBook fetches the ranked entry addresses from the entries and caches
// them for their TTL.
type addressBook struct {
	seeds []string
	zone  string
	token auth.Token
	http  *http.Client

	// sem guards the fields below. It is held during a lookup; a semaphore is
	// used instead of a mutex so that a waiter can give up when its context ends.
	sem     *semaphore.Weighted
	ranked  []string
	expires time.Time
	lookups int
	failed  int
}

func newAddressBook(cfg Config, client *http.Client) *addressBook {
	return &addressBook{
		seeds: cfg.Entries, zone: cfg.Zone, token: cfg.Token, http: client, sem: semaphore.NewWeighted(1),
	}
}

type addressAnswer struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLSeconds float64 `json:"ttl_seconds"`
}

// get returns the ranked addresses, refreshing them when they have expired. Only
// one lookup runs at a time. It returns nil when ctx ends while waiting.
func (b *addressBook) get(ctx context.Context) []string {
	if b.sem.Acquire(ctx, 1) != nil {
		return nil
	}
	defer b.sem.Release(1)
	if time.Now().Before(b.expires) {
		return b.ranked
	}
	for _, address := range append(append([]string(nil), b.ranked...), b.seeds...) {
		answer, err := b.ask(ctx, address)
		if err != nil || len(answer.Addresses) == 0 {
			b.failed++
			continue
		}
		b.ranked = b.ranked[:0:0]
		for _, a := range answer.Addresses {
			b.ranked = append(b.ranked, a.Address)
		}
		b.expires = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return b.ranked
	}
	if len(b.ranked) == 0 {
		b.ranked = b.seeds
	}
	b.expires = time.Now().Add(fallbackTTL)
	return b.ranked
}

func (b *addressBook) ask(ctx context.Context, address string) (addressAnswer, error) {
	b.lookups++
	var answer addressAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := "http://" + address + "/v1/addresses"
	if b.zone != "" {
		target += "?" + url.Values{"zone": {b.zone}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, oops.In("loadtool").Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+b.token.Secret())
	response, err := b.http.Do(request)
	if err != nil {
		return answer, oops.In("loadtool").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, oops.In("loadtool").Errorf("%s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxLookupBytes)).Decode(&answer)
	return answer, oops.In("loadtool").Wrap(err)
}

// counts returns the number of lookups and how many of them failed.
func (b *addressBook) counts() (lookups, failed int) {
	if b.sem.Acquire(context.Background(), 1) == nil {
		defer b.sem.Release(1)
	}
	return b.lookups, b.failed
}

// notSent reports whether err proves that the request was never sent, because
// the connection could not be opened.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
