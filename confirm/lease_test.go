package confirm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/confirm"
)

var (
	start = time.Unix(1_000, 0)
	four  = []string{"a", "b", "c", "d"}
)

func Example() {
	lease := confirm.New(confirm.Config{})
	round := lease.StartRound(start)
	for _, replica := range []string{"a", "b"} {
		lease.Receive(confirm.Reply{Round: round, Replica: replica, Revision: 7, Voters: []string{"a", "b", "c", "d"}, VoterIndex: 1})
	}
	fmt.Println(lease.Check(7, start.Add(time.Second)))
	fmt.Println(lease.Check(6, start.Add(time.Second)))
	fmt.Println(lease.Check(7, start.Add(2*time.Second)))
	// Output:
	//  true
	// behind false
	// lease-expired false
}

func reply(round uint64, replica string, revision uint64) confirm.Reply {
	return confirm.Reply{Round: round, Replica: replica, Revision: revision, Voters: four, VoterIndex: 1}
}

// Guards against a confirmation by too few voters, or by replies that are
// unresolved, duplicated, for different revisions, or from outside the round or
// the voter set.
func TestOnlyAReadQuorumConfirms(t *testing.T) {
	unresolved := reply(1, "b", 7)
	unresolved.Unresolved = true
	unknownRound := reply(9, "b", 7)
	shrunk := reply(1, "c", 7)
	shrunk.Voters, shrunk.VoterIndex = []string{"b", "c", "d"}, 2
	cases := map[string][]confirm.Reply{
		"one voter":           {reply(1, "a", 7)},
		"same voter twice":    {reply(1, "a", 7), reply(1, "a", 7)},
		"unresolved voter":    {reply(1, "a", 7), unresolved},
		"learner":             {reply(1, "a", 7), reply(1, "learner", 7)},
		"different revisions": {reply(1, "a", 7), reply(1, "b", 8)},
		"unknown round":       {reply(1, "a", 7), unknownRound},
		"removed voter":       {reply(1, "a", 7), shrunk},
		"earlier voter set":   {reply(1, "b", 7), shrunk},
		"earlier set later":   {shrunk, reply(1, "b", 7)},
		"removed voter later": {shrunk, reply(1, "a", 7)},
	}
	for name, replies := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lease := confirm.New(confirm.Config{Grace: time.Hour})
			is.Equal(lease.StartRound(start), uint64(1))
			for _, r := range replies {
				lease.Receive(r)
			}
			reason, ok := lease.Check(9, start)
			is.True(!ok)
			is.Equal(reason, confirm.NeverConfirmed)
		})
	}
}

// Guards against counting the lease from the arrival of delayed replies instead
// of from the sending of the request.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	lease := confirm.New(confirm.Config{})
	first := lease.StartRound(start)
	lease.StartRound(start.Add(1500 * time.Millisecond))
	lease.Receive(reply(first, "a", 7))
	lease.Receive(reply(first+1, "b", 7))
	_, ok := lease.Check(7, start.Add(1999*time.Millisecond))
	is.True(ok)
	reason, _ := lease.Check(7, start.Add(2*time.Second))
	is.Equal(reason, confirm.LeaseExpired)
	lease.StartRound(start.Add(2 * time.Second))
	lease.Receive(reply(first, "c", 7)) // expired round
	is.True(!lease.Held(start.Add(2 * time.Second)))
}

// Guards against a grace period that does not end or that counts as a held lease.
func TestGraceExtendsServing(t *testing.T) {
	is := is.New(t)
	lease := confirm.New(confirm.Config{Grace: time.Minute})
	round := lease.StartRound(start)
	lease.Receive(reply(round, "a", 7))
	lease.Receive(reply(round, "b", 7))
	_, ok := lease.Check(7, start.Add(61*time.Second))
	is.True(ok)
	is.True(!lease.Held(start.Add(2 * time.Second)))
	_, ok = lease.Check(7, start.Add(62*time.Second))
	is.True(!ok)
}

// Guards against counting replies to rounds of an earlier process start.
func TestRepliesToEarlierStartsAreIgnored(t *testing.T) {
	is := is.New(t)
	lease := confirm.New(confirm.Config{RoundOffset: 100})
	lease.StartRound(start)
	lease.Receive(reply(1, "a", 7))
	lease.Receive(reply(1, "b", 7))
	is.True(!lease.Held(start))
}

// Guards against stale voters lowering the confirmed revision.
func TestRevisionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	lease := confirm.New(confirm.Config{})
	round := lease.StartRound(start)
	lease.Receive(reply(round, "a", 8))
	lease.Receive(reply(round, "b", 8))
	round = lease.StartRound(start.Add(time.Second))
	lease.Receive(reply(round, "c", 7))
	lease.Receive(reply(round, "d", 7))
	is.Equal(lease.Revision(), uint64(8))
	is.Equal(lease.ServeUntil(), start.Add(2*time.Second))
}

// Guards against an instance that serves a revision for 2 s or more after a
// later one was accepted, in random interleavings of log syncs, commits,
// requests, delayed replies and voter set changes. voterModel produces the
// replies that section 8 of the design requires of voters.
func TestNothingOlderIsServedAfterAcceptancePlusLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &voterModel{now: start, lease: confirm.New(confirm.Config{}), voters: four, index: 1, logs: map[string]voterLog{}}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"sync":   func(t *rapid.T) { m.sync(rapid.SampledFrom(m.voters).Draw(t, "voter")) },
			"commit": func(t *rapid.T) { m.learnCommit(rapid.SampledFrom(m.voters).Draw(t, "voter")) },
			"remove": func(t *rapid.T) {
				m.remove(rapid.SampledFrom(m.voters).Draw(t, "voter"), rapid.SampledFrom(m.voters).Draw(t, "unaware"))
			},
			"ask": func(*rapid.T) { m.ask() },
			"deliver": func(t *rapid.T) {
				if len(m.inFlight) > 0 {
					i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "reply")
					m.lease.Receive(m.inFlight[i])
				}
			},
			"": func(t *rapid.T) {
				if len(m.accepted) == 0 {
					return
				}
				newest := uint64(len(m.accepted))
				_, ok := m.lease.Check(newest-1, m.now)
				if ok && m.now.Sub(m.accepted[newest-1]) >= 2*time.Second {
					t.Fatalf("revision %d served %v after %d was accepted", newest-1, m.now.Sub(m.accepted[newest-1]), newest)
				}
			},
		})
	})
}

type voterLog struct {
	synced, committed uint64
	index             uint64 // log index of the voter set
	voters            []string
}

// voterModel is a model of the voters with at most one uncommitted note. Changes
// of the voter set need majorities of both the old and the new set.
type voterModel struct {
	now      time.Time
	lease    *confirm.Lease
	voters   []string
	index    uint64
	logs     map[string]voterLog
	accepted []time.Time // accepted[r-1] is when revision r was accepted
	inFlight []confirm.Reply
}

// sync stores the next revision on a voter and accepts it once a majority
// stores it.
func (m *voterModel) sync(voter string) {
	next := uint64(len(m.accepted)) + 1
	l := m.logs[voter]
	l.synced, l.committed = next, max(l.committed, next-1)
	l.index, l.voters = m.index, m.voters
	m.logs[voter] = l
	holders := 0
	for _, v := range m.voters {
		if m.logs[v].synced >= next {
			holders++
		}
	}
	if holders > len(m.voters)/2 {
		m.accepted = append(m.accepted, m.now)
	}
}

func (m *voterModel) learnCommit(voter string) {
	l := m.logs[voter]
	l.committed = min(l.synced, uint64(len(m.accepted)))
	m.logs[voter] = l
}

// remove takes a voter out of the set, with majorities of both sets holding the
// change; one voter of the old set does not receive it.
func (m *voterModel) remove(voter, unaware string) {
	if len(m.voters) <= 3 {
		return
	}
	var rest []string
	for _, v := range m.voters {
		if v != voter {
			rest = append(rest, v)
		}
	}
	for _, v := range m.voters {
		if v == unaware {
			continue
		}
		l := m.logs[v]
		l.synced = max(l.synced, uint64(len(m.accepted)))
		l.index, l.voters = m.index+1, rest
		m.logs[v] = l
	}
	m.voters, m.index = rest, m.index+1
}

func (m *voterModel) ask() {
	round := m.lease.StartRound(m.now)
	for _, v := range four {
		l := m.logs[v]
		if l.index == 0 {
			l.index, l.voters = 1, four
		}
		m.inFlight = append(m.inFlight, confirm.Reply{
			Round: round, Replica: v, Revision: l.committed, Unresolved: l.synced > l.committed,
			Voters: l.voters, VoterIndex: l.index,
		})
	}
}
