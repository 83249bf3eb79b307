package claims

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	for seed := uint64(1); seed < 8; seed++ {
		r := Run(Options{Seed: seed, Routers: 7, Requests: 100000, Rate: 500, Sends: 5, Faults: true, Retention: time.Minute, Record: true})
		fmt.Println(seed, r.Violations)
		for _, v := range r.Violations {
			k := strings.Fields(v[strings.Index(v, "key "):])[1]
			var ops []string
			for _, o := range r.History {
				in := o.Input.(operation)
				if hex.EncodeToString(in.key[:]) != k {
					continue
				}
				out := o.Output.(result)
				ops = append(ops, fmt.Sprintf("%12v id=%x rel=%v ret=%v %v winner=%x holder=%v", time.Duration(o.Call-epoch.UnixNano()), in.id[:3], in.release, time.Duration(o.Return-epoch.UnixNano()), out.standing.Verdict, out.standing.Winner[:3], out.standing.Holder))
			}
			sort.Strings(ops)
			fmt.Println(strings.Join(ops, "\n"))
		}
		if r.Broken > 0 {
			break
		}
	}
}
