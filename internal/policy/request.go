package policy

import (
	"fmt"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/router"
)

// offer passes a request to the admission policy.
func (s *Sim) offer(j *job) {
	in := j.instance
	switch s.policy.Admit {
	case AdmitAll:
		s.startPrefill(j)
	case AdmitFIFO:
		s.offerFIFO(j)
	case AdmitFair:
		in.nextID++
		in.waiting[in.nextID] = j
		c, _ := in.router.Choose(j.prefillRequest)
		j.admission = admit.Request{
			ID: in.nextID, Tenant: tenantID(j.arrival.Tenant), Class: classID(j.arrival.Class),
			Cost: c.TTFT - c.Wait, Objective: objectives[j.arrival.Class].firstToken, Returning: j.attempts > 1 || s.spec.ForgedRetries && j.arrival.Tenant == 0,
		}
		decision, decided := in.queue.Offer(s.clock(), j.admission)
		if decided {
			s.applyDecision(in, decision)
		}
	}
}

func tenantID(i int) ident.TenantID { return ident.TenantID(fmt.Sprint("t", i)) }
func classID(c Class) ident.ClassID { return ident.ClassID(fmt.Sprint("c", int(c))) }

// advanceQueue applies the decisions that are due at an instance's admission queue.
func (s *Sim) advanceQueue(in *instanceState) {
	if s.policy.Admit != AdmitFair {
		return
	}
	for _, decision := range in.queue.Advance(s.clock()) {
		s.applyDecision(in, decision)
	}
}

// applyDecision starts or refuses a request as the admission queue decided.
func (s *Sim) applyDecision(in *instanceState, d admit.Decision) {
	j := in.waiting[d.ID]
	delete(in.waiting, d.ID)
	if d.Err != nil {
		s.recordRefusal(j, d.Err)
		return
	}
	if j.attempts > 1 {
		s.result.RetriesAdmitted++
	}
	j.admitted = s.now
	j.windowFreed = false
	j.entitled = d.Entitled
	s.startPrefill(j)
}

// offerFIFO starts a request, queues it at the concurrency limit or refuses it if the queue
// is full.
func (s *Sim) offerFIFO(j *job) {
	in := j.instance
	if in.running < fifoLimit {
		in.running++
		s.startPrefill(j)
		return
	}
	if len(in.fifo) >= fifoQueue {
		s.recordRefusal(j, nil)
		return
	}
	in.fifo = append(in.fifo, j)
}

// releaseSlot reports the end of a request to the admission policy, which may start another.
func (s *Sim) releaseSlot(j *job) {
	in := j.instance
	switch s.policy.Admit {
	case AdmitAll:
	case AdmitFIFO:
		if len(in.fifo) > 0 {
			next := in.fifo[0]
			in.fifo = in.fifo[1:]
			s.startPrefill(next)
			return
		}
		in.running--
	case AdmitFair:
		in.queue.Done()
		s.advanceQueue(in)
	}
}

// startPrefill sends the prompt to an engine. It retries later if no engine is usable.
func (s *Sim) startPrefill(j *job) {
	j.decoding = false
	c, ok := s.chooseTarget(j.instance, j.prefillRequest)
	if !ok {
		s.scheduleAfter(100*time.Millisecond, func() { s.startPrefill(j) })
		return
	}
	j.engine = s.engineByID(c.ID)
	j.engine.jobs[j.id] = j
	j.prefillChoice = c
	j.instance.router.Sent(s.clock(), c, j.prefillRequest)
	if j.engine.region != j.instance.region {
		s.result.CrossRegionBytes += int64(j.arrival.PromptTokens) * 4 // about 4 bytes of text per token
	}
	s.scheduleAfter(linkDelay(j.instance.region, j.engine.region), func() { s.addWork(j, standin.Work{PrefillOnly: true}) })
}

// engineByID returns the engine with an ID, which must exist.
func (s *Sim) engineByID(id ident.TargetID) *engineState {
	i := slices.IndexFunc(s.engines, func(en *engineState) bool { return en.id == id })
	return s.engines[i]
}

// addWork queues a job at its engine, unless the engine crashed in the meantime. Short
// requests have priority over long ones, and entitled requests over others of their class.
func (s *Sim) addWork(j *job, w standin.Work) {
	en := j.engine
	if en == nil || en.jobs[j.id] != j {
		return
	}
	w.ID, w.PromptTokens, w.Blocks, w.AnswerTokens = j.id, j.arrival.PromptTokens, j.arrival.Blocks, j.arrival.AnswerTokens-j.tokens
	if j.arrival.Class == Short {
		w.Priority = 10
	}
	if j.entitled {
		w.Priority++
	}
	en.model.Add(w)
	s.stepEngine(en)
}

// handleOutput handles the output of an engine for a job.
func (s *Sim) handleOutput(en *engineState, j *job, o standin.Output) {
	if o.Token < 0 {
		s.endPrefill(en, j)
		return
	}
	at := s.now + linkDelay(en.region, j.instance.region)
	if j.tokens == 0 {
		j.firstToken = at - j.arrived
		s.freeWindow(j)
	} else {
		j.tokenGaps = append(j.tokenGaps, at-j.lastToken)
	}
	j.lastToken = at
	j.tokens++
	if o.Done {
		j.instance.router.Ended(s.clock(), j.decodeChoice, j.decodeRequest, true)
		delete(en.jobs, j.id)
		s.recordAnswer(j)
	}
}

// freeWindow frees a job's place in the admission window at its first token.
func (s *Sim) freeWindow(j *job) {
	if s.policy.Admit != AdmitFair || j.windowFreed {
		return
	}
	j.windowFreed = true
	j.instance.queue.FirstToken(s.clock(), j.admission, max(0, s.now-j.admitted-j.admission.Cost))
	s.advanceQueue(j.instance)
}

// endPrefill ends the prefill of a job and starts its decode.
func (s *Sim) endPrefill(en *engineState, j *job) {
	j.instance.router.FirstToken(s.clock(), j.prefillChoice, j.prefillRequest)
	j.instance.router.Ended(s.clock(), j.prefillChoice, j.prefillRequest, true)
	delete(en.jobs, j.id)
	s.startDecode(en, j)
}

// startDecode transfers a job's KV cache to an engine that generates the answer. It retries
// later if no engine is usable.
func (s *Sim) startDecode(from *engineState, j *job) {
	j.decodeRequest = j.prefillRequest
	j.decodeRequest.Stage = router.StageDecode
	j.decodeRequest.KVRegion = regionID(from.region)
	c, ok := s.chooseTarget(j.instance, j.decodeRequest)
	if !ok {
		s.scheduleAfter(100*time.Millisecond, func() { s.startDecode(from, j) })
		return
	}
	j.decoding = true
	j.engine = s.engineByID(c.ID)
	j.engine.jobs[j.id] = j
	j.decodeChoice = c
	j.instance.router.Sent(s.clock(), c, j.decodeRequest)
	bytes := int64(j.arrival.PromptTokens) * bytesPerToken
	rate := float64(regionBandwidth)
	if from.region != j.engine.region {
		s.result.CrossRegionBytes += bytes
		rate = crossRegionBandwidth
	}
	d := time.Duration(float64(bytes) / rate * float64(time.Second))
	s.scheduleAfter(d+linkDelay(from.region, j.engine.region)+linkDelay(j.instance.region, j.engine.region), func() { s.addWork(j, standin.Work{Imported: true}) })
}

// endAccounting removes a job that a crash lost from the router's accounting.
func (s *Sim) endAccounting(j *job) {
	if j.decoding {
		j.instance.router.Ended(s.clock(), j.decodeChoice, j.decodeRequest, true)
		return
	}
	j.instance.router.Ended(s.clock(), j.prefillChoice, j.prefillRequest, false)
}

// recordAnswer counts a complete answer and compares its latencies with the objectives.
func (s *Sim) recordAnswer(j *job) {
	o := objectives[j.arrival.Class]
	slices.Sort(j.tokenGaps)
	between := time.Duration(0)
	if n := len(j.tokenGaps); n > 0 {
		between = j.tokenGaps[(n-1)*95/100]
	}
	s.result.first[j.arrival.Class] = append(s.result.first[j.arrival.Class], j.firstToken)
	s.result.between = append(s.result.between, between)
	if j.firstToken <= o.firstToken && between <= o.betweenTokens {
		s.result.WithinObjectives++
		s.result.tenant(j).good++
	}
	s.result.Completed++
	s.releaseSlot(j)
}
