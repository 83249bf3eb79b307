package capacity

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	codec "hyssopreach/internal/protocol/claim"
	"hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/text"
)

// fetchesServed is the maximum number of routers that fetch a new text from
// the same router.
const fetchesServed = 4

// configuration measures the operators' text of a fleet and its changes. A
// router sends one offer per second, and after a change the text to at most
// fetchesServed routers. The processor time is that of parsing the changed
// texts.
func configuration(routers int) Cost {
	data := targetDocument(routers)
	const parses = 5
	spent := timed(func() {
		for range parses {
			if _, err := text.Parse(data); err != nil {
				panic(fmt.Sprintf("parse the operators' text that is measured: %v", err))
			}
		}
	}) / parses
	changes := float64(targetChangesPerDay) / secondsPerDay
	offer := float64(proto.Size(&peer.ConfigurationOffer{Revision: 1e6, Offset: 1e6, Hash: 1}))
	c := Cost{
		Routers:  routers,
		Messages: 1 + changes*fetchesServed,
		Bytes:    offer + changes*fetchesServed*float64(len(data)),
		Cores:    spent.Seconds() * changes,
	}
	c.FramedBytes = c.Bytes + frameBytes*c.Messages
	c.HeapBytes = retainedHeap(func() any {
		doc, _ := text.Parse(data)
		return []any{doc, append([]byte(nil), data...)}
	})
	return c
}

// targetDocument returns an operators' text whose endpoints and organisations
// are in proportion to the target.
func targetDocument(routers int) []byte {
	v := targetView(routers)
	doc := text.Document{FormatVersion: text.FormatVersion, Rehearsals: []text.Rehearsal{}}
	for name := range v.Organisations {
		doc.Organisations = append(doc.Organisations, text.Organisation{
			Name: name, Weight: 1, KeyHashes: []string{text.KeyHash(name), text.KeyHash(name + "2")},
			MaxWaiting: 100, MaxWaitingBytes: 1 << 20, RetryRatio: 0.1,
		})
	}
	pool := text.Pool{Name: "model"}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		pool.Endpoints = append(pool.Endpoints, text.Endpoint{
			Name: "engine", VM: e.VM, FailureDomain: e.FailureDomain, Address: e.Address, Accelerators: 4,
		})
	}
	doc.Pools = []text.Pool{pool}
	doc.Services = []text.Service{{
		Name: "chat", Kind: text.KindModel, Pool: "model", DependsOn: []string{},
		Classes: []text.Class{{Name: "all", Methods: []string{}, Idempotent: true, MayWait: true, EstimatedCost: minCost}},
	}}
	for i := range targetModels {
		doc.Models = append(doc.Models, text.Model{
			Name: fmt.Sprintf("model-%d", i), Pool: "model", Version: "1", Adapters: []string{}, SizeBytes: 1 << 34, MinReplicas: 1,
		})
	}
	data, err := json.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("encode the operators' text that is measured: %v", err))
	}
	return data
}

const entriesPerBatch = 64

// claimWriter measures the claim writer of one key range: the memory and the
// processor time of its fold, and the bytes of an appended entry and of a verdict
// for each claim. The fold holds the keys that are live at the fleet's rate of
// non-idempotent requests, which grows in proportion to the fleet.
func claimWriter(routers int) Cost {
	perSecond := float64(claimsPerSecond) * float64(routers) / targetRouters / claim.Ranges
	liveKeys := int(perSecond * claim.KeyLifetime.Seconds())
	at := time.Unix(1e9, 0)
	var batchBytes int
	var spent time.Duration
	c := Cost{Routers: routers}
	c.HeapBytes = retainedHeap(func() any {
		fold := claim.NewFold(0)
		for made := 0; made < liveKeys; made += entriesPerBatch {
			batch := claim.Batch{FormatVersion: claim.FormatVersion}
			for i := range entriesPerBatch {
				batch.Entries = append(batch.Entries, claim.Entry{Kind: claim.KindClaim, Claim: numberedClaim(made + i)})
			}
			payload, err := codec.Encode(batch)
			if err != nil {
				panic(fmt.Sprintf("encode the claims that are measured: %v", err))
			}
			batchBytes = len(payload)
			spent += timed(func() { _, _ = fold.Apply(claim.Record{Offset: fold.Next(), Appended: at, Batch: batch}) })
		}
		return fold
	})
	entryBytes := float64(batchBytes) / entriesPerBatch
	verdictBytes := float64(proto.Size(&peer.ClaimVerdict{Claim: make([]byte, 16), Verdict: 1, HolderRouter: "vm-entry-000", HolderIncarnation: 1, HolderClaim: make([]byte, 16), KeptUntilUnixMillis: at.UnixMilli()}))
	c.Messages = perSecond
	c.Bytes = perSecond * (entryBytes + verdictBytes)
	c.FramedBytes = c.Bytes + frameBytes*perSecond
	c.Cores = spent.Seconds() / float64(liveKeys) * perSecond
	return c
}

// numberedClaim returns the claim with number n in a series of distinct
// claims. A multiplicative hash distributes the keys.
func numberedClaim(n int) claim.Claim {
	var c claim.Claim
	binary.BigEndian.PutUint64(c.ID[:], uint64(n)+1)
	binary.BigEndian.PutUint64(c.Key[1:], uint64(n)*0x9E3779B97F4A7C15)
	c.Holder = claim.Holder{Router: string(routerID(n % targetRouters)), Incarnation: 1}
	return c
}
