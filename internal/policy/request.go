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

// admit takes a request through the policy's admission.
func (s *Sim) admit(j *job) {
	e := j.entry
	switch s.policy.Admit {
	case AdmitAll:
		s.prefill(j)
	case AdmitFIFO:
		s.admitFIFO(j)
	case AdmitFair:
		e.nextID++
		e.waiting[e.nextID] = j
		c, _ := e.router.Choose(j.req)
		j.entered = admit.Request{
			ID: e.nextID, Tenant: tenantID(j.a.Tenant), Class: classID(j.a.Class),
			Cost: c.TTFT - c.Wait, Objective: objectives[j.a.Class].first, Returning: j.tries > 1 || s.spec.Forged && j.a.Tenant == 0,
		}
		v, decided := e.queue.Offer(s.clock(), j.entered)
		if decided {
			s.verdict(e, v)
		}
	}
}

func tenantID(i int) ident.TenantID { return ident.TenantID(fmt.Sprint("t", i)) }
func classID(c Class) ident.ClassID { return ident.ClassID(fmt.Sprint("c", int(c))) }

func (s *Sim) advance(e *entryState) {
	if s.policy.Admit != AdmitFair {
		return
	}
	for _, v := range e.queue.Advance(s.clock()) {
		s.verdict(e, v)
	}
}

func (s *Sim) verdict(e *entryState, v admit.Decision) {
	j := e.waiting[v.ID]
	delete(e.waiting, v.ID)
	if v.Err != nil {
		s.refused(j, v.Err)
		return
	}
	if j.tries > 1 {
		s.result.Readmitted++
	}
	j.started = s.now
	j.freed = false
	j.entitled = v.Entitled
	s.prefill(j)
}

func (s *Sim) admitFIFO(j *job) {
	e := j.entry
	if e.running < fifoLimit {
		e.running++
		s.prefill(j)
		return
	}
	if len(e.fifo) >= fifoQueue {
		s.refused(j, nil)
		return
	}
	e.fifo = append(e.fifo, j)
}

// leave ends a request's place in the admission.
func (s *Sim) leave(j *job) {
	e := j.entry
	switch s.policy.Admit {
	case AdmitAll:
	case AdmitFIFO:
		if len(e.fifo) > 0 {
			next := e.fifo[0]
			e.fifo = e.fifo[1:]
			s.prefill(next)
			return
		}
		e.running--
	case AdmitFair:
		e.queue.Done()
		s.advance(e)
	}
}

// prefill sends the prompt to an engine.
func (s *Sim) prefill(j *job) {
	j.decode = false
	c, ok := s.choose(j.entry, j.req)
	if !ok {
		s.after(100*time.Millisecond, func() { s.prefill(j) })
		return
	}
	j.engine = s.byID(c.ID)
	j.engine.jobs[j.id] = j
	j.pre = c
	j.entry.router.Sent(s.clock(), c, j.req)
	if j.engine.region != j.entry.region {
		s.result.Cross += int64(j.a.Prompt) * 4
	}
	s.after(link(j.entry.region, j.engine.region), func() { s.add(j, standin.Work{Export: true}) })
}

func (s *Sim) byID(id ident.TargetID) *engineState {
	i := slices.IndexFunc(s.engines, func(e *engineState) bool { return e.id == id })
	return s.engines[i]
}

// add puts a job into its engine, unless it was lost on the way.
func (s *Sim) add(j *job, w standin.Work) {
	en := j.engine
	if en == nil || en.jobs[j.id] != j {
		return
	}
	w.ID, w.Prompt, w.Pieces, w.Answer = j.id, j.a.Prompt, j.a.Pieces, j.a.Answer-j.tokens
	if j.a.Class == Short {
		w.Priority = 10
	}
	if j.entitled {
		w.Priority++
	}
	en.model.Add(w)
	s.step(en)
}

// output takes what an engine produced for a job.
func (s *Sim) output(en *engineState, j *job, o standin.Output) {
	if o.Token < 0 {
		s.prefilled(en, j)
		return
	}
	at := s.now + link(en.region, j.entry.region)
	if j.tokens == 0 {
		j.first = at - j.arrived
		s.free(j)
	} else {
		j.gaps = append(j.gaps, at-j.last)
	}
	j.last = at
	j.tokens++
	if o.Done {
		j.entry.router.Ended(s.clock(), j.dec, j.decReq, true)
		delete(en.jobs, j.id)
		s.complete(j)
	}
}

// free gives back a job's place in the window at its first token.
func (s *Sim) free(j *job) {
	if s.policy.Admit != AdmitFair || j.freed {
		return
	}
	j.freed = true
	j.entry.queue.FirstToken(s.clock(), j.entered, max(0, s.now-j.started-j.entered.Cost))
	s.advance(j.entry)
}

// prefilled moves a job's KV cache to an engine that generates its answer.
func (s *Sim) prefilled(en *engineState, j *job) {
	j.entry.router.FirstToken(s.clock(), j.pre, j.req)
	j.entry.router.Ended(s.clock(), j.pre, j.req, true)
	delete(en.jobs, j.id)
	s.toDecode(en, j)
}

func (s *Sim) toDecode(from *engineState, j *job) {
	j.decReq = j.req
	j.decReq.Stage = router.StageDecode
	j.decReq.KVRegion = regionID(from.region)
	c, ok := s.choose(j.entry, j.decReq)
	if !ok {
		s.after(100*time.Millisecond, func() { s.toDecode(from, j) })
		return
	}
	j.decode = true
	j.engine = s.byID(c.ID)
	j.engine.jobs[j.id] = j
	j.dec = c
	j.entry.router.Sent(s.clock(), c, j.decReq)
	bytes := int64(j.a.Prompt) * bytesPerToken
	band := float64(bandwidth)
	if from.region != j.engine.region {
		s.result.Cross += bytes
		band = crossBand
	}
	d := time.Duration(float64(bytes) / band * float64(time.Second))
	s.after(d+link(from.region, j.engine.region)+link(j.entry.region, j.engine.region), func() { s.add(j, standin.Work{Imported: true}) })
}

// release takes a lost job off the router's books.
func (s *Sim) release(j *job) {
	if j.decode {
		j.entry.router.Ended(s.clock(), j.dec, j.decReq, true)
		return
	}
	j.entry.router.Ended(s.clock(), j.pre, j.req, false)
}

// complete counts an answer that is whole.
func (s *Sim) complete(j *job) {
	o := objectives[j.a.Class]
	slices.Sort(j.gaps)
	between := time.Duration(0)
	if n := len(j.gaps); n > 0 {
		between = j.gaps[(n-1)*95/100]
	}
	s.result.first[j.a.Class] = append(s.result.first[j.a.Class], j.first)
	s.result.between = append(s.result.between, between)
	if j.first <= o.first && between <= o.between {
		s.result.Good++
		s.result.tenant(j).good++
	}
	s.result.Whole++
	s.leave(j)
}
