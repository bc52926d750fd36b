package gate

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

var dbg = struct {
	sync.Mutex
	n map[string]int
}{n: map[string]int{}}

func dbgCount(k string) { dbg.Lock(); dbg.n[k]++; dbg.Unlock() }

func (a *admission) dbgLoop() {
	for {
		time.Sleep(2 * time.Second)
		dbg.Lock()
		ks := []string{}
		for k, v := range dbg.n {
			ks = append(ks, fmt.Sprintf("%s=%d", k, v))
		}
		dbg.n = map[string]int{}
		dbg.Unlock()
		sort.Strings(ks)
		run, pend, mem := 0, 0.0, 0.0
		a.loads.mu.Lock()
		n := 0
		for id, s := range a.loads.backends {
			l := s.load.Add(a.peers.Load(id))
			if l.Memory > 0 {
				run += l.Running
				pend += l.Pending
				mem += l.Memory
				n++
			}
		}
		rates := ""
		for s, m := range a.loads.models {
			rates += fmt.Sprintf(" %s=%.0f", s, m.tokens/m.seconds)
		}
		a.loads.mu.Unlock()
		fmt.Println("DBG", ks, "engines", n, "run", run, "pend", int(pend), "mem", int(mem), "rate", rates)
	}
}

func dbgSum(k string, n int) { dbg.Lock(); dbg.n[k] += n; dbg.Unlock() }
