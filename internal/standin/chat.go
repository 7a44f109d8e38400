package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxChatBody   = 8 << 20
	maxChatTokens = 8192
	bytesPerKiB   = 1024
	bytesPerToken = 4 // rough ratio, used only for the usage counts
	finishStop    = "stop"
	endOfStream   = "data: [DONE]\n\n"
	chunkObject   = "chat.completion.chunk"
	answerObject  = "chat.completion"
	errorType     = "invalid_request_error"
)

// chatRequest is the subset of a chat completion request that the engine uses.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream        bool `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	ResumeFromToken     int `json:"resume_from_token"`
}

// prompt concatenates the messages. Content that is not a JSON string is used
// as raw JSON.
func (c chatRequest) prompt() string {
	var text strings.Builder
	for _, m := range c.Messages {
		var s string
		if json.Unmarshal(m.Content, &s) != nil {
			s = string(m.Content)
		}
		text.WriteString(promptLine(m.Role, s))
	}
	return text.String()
}

// tokens returns the requested answer length, capped at maxChatTokens.
func (c chatRequest) tokens(byDefault int) int {
	for _, n := range []int{c.MaxCompletionTokens, c.MaxTokens} {
		if n > 0 {
			return min(n, maxChatTokens)
		}
	}
	return byDefault
}

// chatDelta is the delta of a chunk or the message of a complete answer.
type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatAnswer struct {
	ID          string       `json:"id"`
	Object      string       `json:"object"`
	Created     int64        `json:"created"`
	Model       string       `json:"model"`
	Fingerprint string       `json:"system_fingerprint"`
	Choices     []chatChoice `json:"choices"`
	Usage       *chatUsage   `json:"usage,omitempty"`
	// TokenIndex is the position of the chunk's token in the answer; nil in
	// chunks without a token.
	TokenIndex *int `json:"token_index,omitempty"`
}

// generation is the state of one chat completion request.
type generation struct {
	engine  *Engine
	request chatRequest
	prompt  string
	setID   string
	weights WeightsDigest
	total   int // tokens in the complete answer, including those skipped by a resume
	answer  chatAnswer
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBody)).Decode(&request); err != nil {
		chatError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	g := &generation{engine: e, request: request, prompt: request.prompt(), total: request.tokens(e.cfg.DefaultTokens)}
	if request.ResumeFromToken < 0 || request.ResumeFromToken > g.total {
		chatError(w, http.StatusBadRequest, "bad_resume", "resume_from_token is outside the answer")
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderEnginePriority))
	if e.batch.acquire(r.Context(), priority) != nil {
		return // the client cancelled the request
	}
	defer e.batch.release()
	set, weights, ok := e.find(request.Model)
	if !ok {
		chatError(w, http.StatusNotFound, "model_not_found", "model "+request.Model+" is not loaded")
		return
	}
	g.setID, g.weights = set.report.SetID, weights
	if e.switches.Get().WrongSet == WrongSetClaimed {
		g.setID = wrongSetID
	}
	g.run(r.Context(), w)
}

func chatError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{
		"message": message, "type": errorType, "code": code,
	}})
}

func (g *generation) run(ctx context.Context, w http.ResponseWriter) {
	e := g.engine
	if marker := e.switches.Get().CrashMarker; marker != "" && strings.Contains(g.prompt, marker) {
		if e.cfg.Exit != nil {
			e.cfg.Exit()
		}
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	g.answer = chatAnswer{
		ID: fmt.Sprintf("chatcmpl-%d", now.UnixNano()), Created: now.Unix(), Model: g.request.Model, Fingerprint: g.setID,
	}
	uncached := 1 - e.cache.use(g.setID+g.request.Model, g.prompt, now)
	prefill := time.Duration(uncached * float64(len(g.prompt)) / bytesPerKiB * float64(e.cfg.PrefillPerKiB))
	if !g.pause(ctx, e.cfg.FirstToken+prefill) {
		return
	}
	w.Header().Set(HeaderEngineSet, g.setID)
	if g.request.Stream {
		g.writeStream(ctx, w)
		return
	}
	g.writeWhole(ctx, w)
}

// delay scales a delay of the idle engine to the current load and SlowFactor.
func (e *Engine) delay(idle time.Duration) time.Duration {
	running, _ := e.batch.load()
	factor := 1 + e.cfg.LoadSlope*float64(max(0, running-1))/float64(max(1, e.cfg.Capacity-1))
	if slow := e.switches.Get().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(idle) * factor)
}

// pause waits for a delay scaled to the current load, and then for as long as
// the Stall fault is set. It returns false if ctx ends first.
func (g *generation) pause(ctx context.Context, idle time.Duration) bool {
	if !sleep(ctx, g.engine.delay(idle)) {
		return false
	}
	for {
		faults, changed := g.engine.switches.Changed()
		if !faults.Stall {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// token returns token i with the faults WrongSet and CutAfterTokens applied. It
// returns false if the answer must be truncated before this token.
func (g *generation) token(i int) (string, bool) {
	faults := g.engine.switches.Get()
	if faults.CutAfterTokens > 0 && i >= faults.CutAfterTokens {
		return "", false
	}
	if faults.WrongSet == WrongSetMidway && i >= g.total/2 {
		g.answer.Fingerprint = wrongSetID
		return Token(g.weights.WithAdapter("other"), g.prompt, i), true
	}
	return Token(g.weights, g.prompt, i), true
}

// writeStream writes the answer as server-sent events.
func (g *generation) writeStream(ctx context.Context, w http.ResponseWriter) {
	g.answer.Object = chunkObject
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	from := g.request.ResumeFromToken
	for i := from; i < g.total; i++ {
		if i > from && !g.pause(ctx, g.engine.cfg.PerToken) {
			return
		}
		text, ok := g.token(i)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		delta := chatDelta{Content: text}
		if i == from {
			delta.Role = "assistant"
		}
		g.answer.TokenIndex = &i
		if !g.send(w, chatChoice{Delta: &delta}, nil) {
			return
		}
	}
	g.answer.TokenIndex = nil
	stop := finishStop
	if !g.send(w, chatChoice{Delta: &chatDelta{}, FinishReason: &stop}, nil) {
		return
	}
	if g.request.StreamOptions.IncludeUsage && !g.send(w, chatChoice{}, g.usage()) {
		return
	}
	_, _ = w.Write([]byte(endOfStream))
}

// send writes one event and returns false if that fails. A chunk that carries
// usage has no choices.
func (g *generation) send(w http.ResponseWriter, choice chatChoice, usage *chatUsage) bool {
	chunk := g.answer
	chunk.Choices, chunk.Usage = []chatChoice{choice}, usage
	if usage != nil {
		chunk.Choices = []chatChoice{}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// writeWhole writes the answer as a single JSON document.
func (g *generation) writeWhole(ctx context.Context, w http.ResponseWriter) {
	var text strings.Builder
	cut := false
	for i := g.request.ResumeFromToken; i < g.total && !cut; i++ {
		if !g.pause(ctx, g.engine.cfg.PerToken) {
			return
		}
		token, ok := g.token(i)
		text.WriteString(token)
		cut = !ok
	}
	stop := finishStop
	g.answer.Object = answerObject
	g.answer.Choices = []chatChoice{{Message: &chatDelta{Role: "assistant", Content: text.String()}, FinishReason: &stop}}
	g.answer.Usage = g.usage()
	if cut {
		writeTruncated(w, g.answer)
		return
	}
	writeJSON(w, http.StatusOK, g.answer)
}

func (g *generation) usage() *chatUsage {
	prompt, completion := len(g.prompt)/bytesPerToken, g.total-g.request.ResumeFromToken
	return &chatUsage{prompt, completion, prompt + completion}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
