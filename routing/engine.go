package routing

// pairsHalf: each token is paired with the tokens before it.
const (
	pairsHalf      = 0.5
	million        = 1e6
	thousand       = 1e3
	defaultStride  = 1
	defaultAnswers = 100
)

// ReadMs is the time in which an engine reads prompts of so many tokens in all.
func (e *Engine) ReadMs(tokens int) float64 {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	usual := float64(max(1, e.UsualPrompt))
	// Prompts are paired within themselves only: long sums are of several prompts.
	return n/e.ReadPerSecond*thousand + e.PairsMs*n*min(n, usual)*pairsHalf/million
}

// PassMs is the time of a pass with so many writers, apart from reading.
func (e *Engine) PassMs(writers int) float64 {
	context := float64(e.UsualPrompt+e.UsualAnswer/2) / thousand
	step := e.StepMs + float64(writers)*(e.PerRequestMs+context*e.PerThousandMs)
	return step * float64(max(defaultStride, e.Stride))
}

// ServiceMs is the time that a usual request holds a slot of a full engine.
func (e *Engine) ServiceMs() float64 {
	answer := e.UsualAnswer
	if answer == 0 {
		answer = defaultAnswers
	}
	passes := float64(answer) / float64(max(defaultStride, e.Stride))
	readPerPass := e.ReadMs(e.UsualPrompt) * float64(e.Slots) / max(1, passes)
	return passes * (e.PassMs(e.Slots) + readPerPass)
}
